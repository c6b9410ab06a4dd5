// Membership changes of the log, one voter at a time, starting from three or four voters. A replica counts majorities by the
// newest membership in its own log, committed or not.
// variant: NO_OWN_TERM_BEFORE_CHANGE
// variant: CHANGE_TWO_AT_ONCE
// variant: CHANGE_BEFORE_COMMIT
#define N 4
#define LENGTH 3
#define TERMS 3
#define CHANGES 2
#define THREE 7
#define FOUR 15
#define CANDIDATES 2  // only the first replicas campaign, which keeps the exploration small; any of them may vote

#define TERM(i, k) entryTerm[(i) * LENGTH + (k)]
#define VOTERS(i, k) entryVoters[(i) * LENGTH + (k)]
#define MATCH(i, j) match[(i) * N + (j)]
#define HAS(set, i) (((set) >> (i)) & 1)
#define SIZE(set) (HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3))
#define IS_MAJORITY(of, set) (2 * SIZE((set) & (of)) > SIZE(of))

byte term[N];
byte voted[N];
byte length[N];
byte entryTerm[N * LENGTH];
byte entryVoters[N * LENGTH];  // set of voters from this entry on, 0 for an ordinary entry
bool leads[N];
byte granted[N];
byte match[N * N];
byte commitOf[N];              // commit index of a leader
byte committed[LENGTH];
byte committedVoters[LENGTH];
byte committedIn[LENGTH];      // term of the leader that committed it first
byte changes;
byte initialVoters;
byte votersNow;                // result of membershipOf

inline membershipOf (i) {
  votersNow = initialVoters;
  k = 0;
  do
  :: k < length[i] ->
    if
    :: VOTERS(i, k) != 0 -> votersNow = VOTERS(i, k)
    :: else -> skip
    fi;
    k++
  :: else -> break
  od
}

inline raise (i, t) {
  if
  :: t > term[i] -> term[i] = t; voted[i] = 0; leads[i] = false; granted[i] = 0
  :: else -> skip
  fi
}

inline ask (i, j) {
  raise(j, term[i]);
  if
  :: (voted[j] == 0 || voted[j] == i + 1) &&
     ((length[j] == 0) ||
      (length[i] > 0 && (TERM(i, length[i] - 1) > TERM(j, length[j] - 1) ||
        (TERM(i, length[i] - 1) == TERM(j, length[j] - 1) && length[i] >= length[j])))) ->
    voted[j] = i + 1;
    granted[i] = granted[i] | (1 << j)
  :: else -> skip
  fi
}

// A new leader starts its term with an entry of its own.
inline lead (i) {
  leads[i] = true;
  commitOf[i] = 0;
  MATCH(i, 0) = 0; MATCH(i, 1) = 0; MATCH(i, 2) = 0; MATCH(i, 3) = 0;
  k = 0;
  do
  :: k < LENGTH ->
    assert(committed[k] == 0 || committedIn[k] >= term[i] || (k < length[i] && TERM(i, k) == committed[k] && VOTERS(i, k) == committedVoters[k]));
    k++
  :: else -> break
  od;
  if
  :: length[i] < LENGTH -> TERM(i, length[i]) = term[i]; VOTERS(i, length[i]) = 0; length[i]++
  :: else -> skip
  fi
}

inline replicate (i, j) {
  raise(j, term[i]);
  leads[j] = false;
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
    :: committed[k] == 0 || committedIn[k] > term[i] -> committedIn[k] = term[i]
    :: else -> skip
    fi;
    committed[k] = TERM(i, k);
    committedVoters[k] = VOTERS(i, k);
    k++
  :: else -> break
  od;
  commitOf[i] = n
}

inline change (i, j, l) {
  changes++;
  TERM(i, length[i]) = term[i];
#ifdef CHANGE_TWO_AT_ONCE
  VOTERS(i, length[i]) = votersNow & ~(1 << j) & ~(1 << l);
#else
  VOTERS(i, length[i]) = votersNow ^ (1 << j);
#endif
  length[i]++
}

inline isSettled (i) {
  // Every membership in the leader's log is committed, and so is an entry of its own term.
  settled = true;
  k = commitOf[i];
#ifndef CHANGE_BEFORE_COMMIT
  do
  :: k < length[i] ->
    if
    :: VOTERS(i, k) != 0 -> settled = false
    :: else -> skip
    fi;
    k++
  :: else -> break
  od;
#endif
#ifndef NO_OWN_TERM_BEFORE_CHANGE
  if
  :: commitOf[i] == 0 || TERM(i, commitOf[i] - 1) != term[i] -> settled = false
  :: else -> skip
  fi
#else
  skip
#endif
}

inline normalise () {
  i = 0;
  do
  :: i < N ->
    k = length[i];
    do
    :: k < LENGTH -> TERM(i, k) = 0; VOTERS(i, k) = 0; k++
    :: else -> break
    od;
    if
    :: !leads[i] -> MATCH(i, 0) = 0; MATCH(i, 1) = 0; MATCH(i, 2) = 0; MATCH(i, 3) = 0; commitOf[i] = 0
    :: else -> granted[i] = 0
    fi;
    i++
  :: else -> break
  od;
  i = 0; j = 0; k = 0; l = 0; set = 0; votersNow = 0; settled = false
}

active proctype system () {
  byte i, j, k, l, set;
  bool settled;
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
      membershipOf(i);
      isSettled(i);
      set = (1 << i);
      k = 0;
      do
      :: k < N ->
        if
        :: leads[i] && k != i && MATCH(i, k) >= MATCH(i, j) && MATCH(i, k) > 0 -> set = set | (1 << k)
        :: else -> skip
        fi;
        k++
      :: else -> break
      od
      };
      if
      :: j == i && i < CANDIDATES && !leads[i] && term[i] < TERMS && HAS(votersNow, i) ->
        d_step { raise(i, term[i] + 1); voted[i] = i + 1; granted[i] = 1 << i }
      :: i != j && !leads[i] && HAS(granted[i], i) && !HAS(granted[i], j) && HAS(votersNow, j) && term[j] <= term[i] -> d_step { ask(i, j); skip }
      :: j == i && !leads[i] && granted[i] != 0 && IS_MAJORITY(votersNow, granted[i]) -> d_step { lead(i); skip }
      :: i != j && leads[i] && term[j] <= term[i] && MATCH(i, j) < length[i] -> d_step { replicate(i, j); skip }
      :: i != j && leads[i] && MATCH(i, j) > commitOf[i] && IS_MAJORITY(votersNow, set) && TERM(i, MATCH(i, j) - 1) == term[i] -> d_step { commit(i, MATCH(i, j)); skip }
      :: i != j && leads[i] && changes < CHANGES && length[i] < LENGTH && settled && HAS(votersNow, j) && SIZE(votersNow) > 1 -> d_step { change(i, j, l) }
      :: else -> skip
      fi;
      d_step { normalise(); skip }
    }
  od
}
