// Membership changes of the replicated log, one voter at a time, starting with three or four voters. A replica determines
// majorities by the newest membership in its own log, committed or not. Checks that committed entries never change and that
// a new leader holds all of them. Each variant switches one safety rule off and must lead to a violation.
// variant: NO_OWN_TERM_BEFORE_CHANGE
// variant: CHANGE_TWO_AT_ONCE
// variant: CHANGE_BEFORE_COMMIT
#define N 4
#define LENGTH 3
#define TERMS 3
#define CHANGES 2
#define THREE 7
#define FOUR 15
#define CANDIDATES 2  // only the first replicas campaign, which limits the state space; every voter may vote

#define TERM(i, k) entryTerm[(i) * LENGTH + (k)]
#define VOTERS(i, k) entryVoters[(i) * LENGTH + (k)]
#define MATCH(i, j) match[(i) * N + (j)]
#define CONTAINS(set, i) (((set) >> (i)) & 1)
#define SIZE(set) (CONTAINS(set, 0) + CONTAINS(set, 1) + CONTAINS(set, 2) + CONTAINS(set, 3))
#define IS_MAJORITY(of, set) (2 * SIZE((set) & (of)) > SIZE(of))

byte term[N];
byte votedFor[N];              // number of the candidate voted for in the current term plus one, 0 for none
byte length[N];
byte entryTerm[N * LENGTH];    // term of each entry
byte entryVoters[N * LENGTH];  // set of voters from this entry on, 0 for an ordinary entry
bool isLeader[N];
byte granted[N];               // set of replicas that granted a candidate their vote in its term
byte match[N * N];             // match index: number of entries known to a leader to be on another replica
byte commitIndex[N];           // commit index of a leader
byte committed[LENGTH];        // term of the committed entry, 0 for none
byte committedVoters[LENGTH];  // voters of the committed entry, 0 for an ordinary entry
byte committedInTerm[LENGTH];  // lowest term of a leader that committed the entry
byte changes;                  // membership changes so far
byte initialVoters;            // set of voters of the first membership
byte currentVoters;            // result of findVoters

// Determines the voters of the newest membership in the log of a replica.
inline findVoters (i) {
  currentVoters = initialVoters;
  k = 0;
  do
  :: k < length[i] ->
    if
    :: VOTERS(i, k) != 0 -> currentVoters = VOTERS(i, k)
    :: else -> skip
    fi;
    k++
  :: else -> break
  od
}

inline enterTerm (i, t) {
  if
  :: t > term[i] -> term[i] = t; votedFor[i] = 0; isLeader[i] = false; granted[i] = 0
  :: else -> skip
  fi
}

inline requestVote (i, j) {
  enterTerm(j, term[i]);
  if
  :: (votedFor[j] == 0 || votedFor[j] == i + 1) &&
     ((length[j] == 0) ||
      (length[i] > 0 && (TERM(i, length[i] - 1) > TERM(j, length[j] - 1) ||
        (TERM(i, length[i] - 1) == TERM(j, length[j] - 1) && length[i] >= length[j])))) ->
    votedFor[j] = i + 1;
    granted[i] = granted[i] | (1 << j)
  :: else -> skip
  fi
}

// Asserts that the log of the new leader holds every entry that a leader of an earlier term committed. The leader starts
// its term with an entry of its own.
inline becomeLeader (i) {
  isLeader[i] = true;
  commitIndex[i] = 0;
  MATCH(i, 0) = 0; MATCH(i, 1) = 0; MATCH(i, 2) = 0; MATCH(i, 3) = 0;
  k = 0;
  do
  :: k < LENGTH ->
    assert(committed[k] == 0 || committedInTerm[k] >= term[i] || (k < length[i] && TERM(i, k) == committed[k] && VOTERS(i, k) == committedVoters[k]));
    k++
  :: else -> break
  od;
  if
  :: length[i] < LENGTH -> TERM(i, length[i]) = term[i]; VOTERS(i, length[i]) = 0; length[i]++
  :: else -> skip
  fi
}

inline replicate (i, j) {
  enterTerm(j, term[i]);
  isLeader[j] = false;
  granted[j] = 0;
  k = 0;
  do
  :: k < length[i] ->
    if
    :: k < length[j] && TERM(j, k) != TERM(i, k) -> length[j] = k
    :: else -> skip
    fi;
    if
    :: k >= length[j] -> TERM(j, k) = TERM(i, k); VOTERS(j, k) = VOTERS(i, k); length[j] = k + 1
    :: else -> skip
    fi;
    k++
  :: else -> break
  od;
  MATCH(i, j) = length[i]
}

inline commit (i, n) {
  k = 0;
  do
  :: k < n ->
    assert(committed[k] == 0 || (committed[k] == TERM(i, k) && committedVoters[k] == VOTERS(i, k)));
    if
    :: committed[k] == 0 || committedInTerm[k] > term[i] -> committedInTerm[k] = term[i]
    :: else -> skip
    fi;
    committed[k] = TERM(i, k);
    committedVoters[k] = VOTERS(i, k);
    k++
  :: else -> break
  od;
  commitIndex[i] = n
}

inline appendChange (i, j, l) {
  changes++;
  TERM(i, length[i]) = term[i];
#ifdef CHANGE_TWO_AT_ONCE
  VOTERS(i, length[i]) = currentVoters & ~(1 << j) & ~(1 << l);
#else
  VOTERS(i, length[i]) = currentVoters ^ (1 << j);
#endif
  length[i]++
}

// A leader may change the membership once every membership in its log and an entry of its own term are committed.
inline checkCanChange (i) {
  canChange = true;
  k = commitIndex[i];
#ifndef CHANGE_BEFORE_COMMIT
  do
  :: k < length[i] ->
    if
    :: VOTERS(i, k) != 0 -> canChange = false
    :: else -> skip
    fi;
    k++
  :: else -> break
  od;
#endif
#ifndef NO_OWN_TERM_BEFORE_CHANGE
  if
  :: commitIndex[i] == 0 || TERM(i, commitIndex[i] - 1) != term[i] -> canChange = false
  :: else -> skip
  fi
#else
  skip
#endif
}

// Clears entries after the end of a log and variables that are not in use, so that equivalent states are equal.
inline canonicalise () {
  i = 0;
  do
  :: i < N ->
    k = length[i];
    do
    :: k < LENGTH -> TERM(i, k) = 0; VOTERS(i, k) = 0; k++
    :: else -> break
    od;
    if
    :: !isLeader[i] -> MATCH(i, 0) = 0; MATCH(i, 1) = 0; MATCH(i, 2) = 0; MATCH(i, 3) = 0; commitIndex[i] = 0
    :: else -> granted[i] = 0
    fi;
    i++
  :: else -> break
  od;
  i = 0; j = 0; k = 0; l = 0; matching = 0; currentVoters = 0; canChange = false
}

active proctype system () {
  byte i, j, k, l, matching;
  bool canChange;
  if
  :: initialVoters = THREE
  :: initialVoters = FOUR
  fi;
  do
  :: atomic {
      if :: i = 0 :: i = 1 :: i = 2 :: i = 3 fi;
      if :: j = 0 :: j = 1 :: j = 2 :: j = 3 fi;
      d_step {
      l = (j + 1) % N;
      findVoters(i);
      checkCanChange(i);
      matching = (1 << i);
      k = 0;
      do
      :: k < N ->
        if
        :: isLeader[i] && k != i && MATCH(i, k) >= MATCH(i, j) && MATCH(i, k) > 0 -> matching = matching | (1 << k)
        :: else -> skip
        fi;
        k++
      :: else -> break
      od
      };
      if
      :: j == i && i < CANDIDATES && !isLeader[i] && term[i] < TERMS && CONTAINS(currentVoters, i) ->
        d_step { enterTerm(i, term[i] + 1); votedFor[i] = i + 1; granted[i] = 1 << i }
      :: i != j && !isLeader[i] && CONTAINS(granted[i], i) && !CONTAINS(granted[i], j) && CONTAINS(currentVoters, j) && term[j] <= term[i] -> d_step { requestVote(i, j); skip }
      :: j == i && !isLeader[i] && granted[i] != 0 && IS_MAJORITY(currentVoters, granted[i]) -> d_step { becomeLeader(i); skip }
      :: i != j && isLeader[i] && term[j] <= term[i] && MATCH(i, j) < length[i] -> d_step { replicate(i, j); skip }
      :: i != j && isLeader[i] && MATCH(i, j) > commitIndex[i] && IS_MAJORITY(currentVoters, matching) && TERM(i, MATCH(i, j) - 1) == term[i] -> d_step { commit(i, MATCH(i, j)); skip }
      :: i != j && isLeader[i] && changes < CHANGES && length[i] < LENGTH && canChange && CONTAINS(currentVoters, j) && SIZE(currentVoters) > 1 -> d_step { appendChange(i, j, l) }
      :: else -> skip
      fi;
      d_step { canonicalise(); skip }
    }
  od
}
