// The replicated log with three replicas: votes, replication, commit, and crashes with and without loss of the disk.
// Checks that there is at most one leader in a term, that committed entries never change, and that a new leader holds all
// of them. A request and its response are one step; a partitioned replica may continue with an old term at any time.
// Each variant switches one safety rule off and must lead to a violation.
// variant: NO_LOG_COMPARISON
// variant: NO_DURABLE_VOTE
// variant: NO_OWN_TERM_COMMIT
// variant: ACKNOWLEDGE_BEFORE_SYNC
// variant: IDENTITY_WITHOUT_DISK
// variant: VOTE_TWICE
#define N 3
#define MAJORITY 2
#define LENGTH 2
#define TERMS 4
#define DISK_LOSSES 1

#define ENTRY(i, k) entry[(i) * LENGTH + (k)]
#define MATCH(i, j) match[(i) * N + (j)]
#ifdef NO_OWN_TERM_COMMIT
#define CAN_COMMIT(i, k) true
#else
#define CAN_COMMIT(i, k) (ENTRY(i, k) == term[i])
#endif
#ifdef ACKNOWLEDGE_BEFORE_SYNC
#define CAN_CRASH(i) (isLeader[i] || granted[i] != 0 || length[i] > 0)
#elif defined(NO_DURABLE_VOTE)
#define CAN_CRASH(i) (votedFor[i] != 0)
#else
#define CAN_CRASH(i) (isLeader[i] || granted[i] != 0)
#endif
#ifdef VOTE_TWICE
#define MAY_VOTE(i, j) true
#else
#define MAY_VOTE(i, j) (votedFor[j] == 0 || votedFor[j] == i + 1)
#endif
#ifdef NO_LOG_COMPARISON
#define IS_UP_TO_DATE(i, j) true
#else
#define LAST(i) ENTRY(i, length[i] - 1)
#define IS_UP_TO_DATE(i, j) (length[j] == 0 || (length[i] > 0 && (LAST(i) > LAST(j) || (LAST(i) == LAST(j) && length[i] >= length[j]))))
#endif
#define CONTAINS(set, i) (((set) >> (i)) & 1)

byte term[N];
byte votedFor[N];           // number of the candidate voted for in the current term plus one, 0 for none
byte length[N];
byte entry[N * LENGTH];     // term of each entry
bool isLeader[N];
byte granted[N];            // set of replicas that granted a candidate their vote in its term
byte match[N * N];          // match index: number of entries known to a leader to be on another replica
bool excluded[N];           // lost its disk, and never takes part again under this identity
byte committed[LENGTH];     // term of the committed entry, 0 for none
byte committedInTerm[LENGTH]; // lowest term of a leader that committed the entry
byte diskLosses;

inline enterTerm (i, t) {
  if
  :: t > term[i] -> term[i] = t; votedFor[i] = 0; isLeader[i] = false; granted[i] = 0
  :: else -> skip
  fi
}

inline campaign (i) {
  enterTerm(i, term[i] + 1);
  votedFor[i] = i + 1;
  granted[i] = 1 << i
}

inline requestVote (i, j) {
  enterTerm(j, term[i]);
  if
  :: MAY_VOTE(i, j) && IS_UP_TO_DATE(i, j) ->
    votedFor[j] = i + 1;
    granted[i] = granted[i] | (1 << j)
  :: else -> skip
  fi
}

// Asserts that the term has no other leader, and that the log of the new leader holds every entry that a leader of an
// earlier term committed.
inline becomeLeader (i) {
  isLeader[i] = true;
  MATCH(i, 0) = 0; MATCH(i, 1) = 0; MATCH(i, 2) = 0;
  k = 0;
  do
  :: k < N -> assert(!(k != i && isLeader[k] && term[k] == term[i])); k++
  :: else -> break
  od;
  k = 0;
  do
  :: k < LENGTH ->
    assert(committed[k] == 0 || committedInTerm[k] >= term[i] || (k < length[i] && ENTRY(i, k) == committed[k]));
    k++
  :: else -> break
  od
}

inline replicate (i, j) {
  enterTerm(j, term[i]);
  isLeader[j] = false;
  granted[j] = 0;
  k = 0;
  do
  :: k < length[i] ->
    if
    :: k < length[j] && ENTRY(j, k) != ENTRY(i, k) -> length[j] = k
    :: else -> skip
    fi;
    if
    :: k >= length[j] -> ENTRY(j, k) = ENTRY(i, k); length[j] = k + 1
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
    assert(committed[k] == 0 || committed[k] == ENTRY(i, k));
    if
    :: committed[k] == 0 || committedInTerm[k] > term[i] -> committedInTerm[k] = term[i]
    :: else -> skip
    fi;
    committed[k] = ENTRY(i, k);
    k++
  :: else -> break
  od
}

inline crash (i) {
  isLeader[i] = false;
  granted[i] = 0;
#ifdef NO_DURABLE_VOTE
  votedFor[i] = 0;
#endif
#ifdef ACKNOWLEDGE_BEFORE_SYNC
  if
  :: length[i] > 0 -> length[i]--
  :: true -> skip
  fi
#endif
}

inline loseDisk (i) {
  diskLosses++;
  isLeader[i] = false;
  granted[i] = 0;
  term[i] = 0;
  votedFor[i] = 0;
  length[i] = 0;
#ifndef IDENTITY_WITHOUT_DISK
  excluded[i] = true
#endif
}

// Clears entries after the end of a log and variables that are not in use, so that equivalent states are equal.
inline canonicalise () {
  i = 0;
  do
  :: i < N ->
    k = length[i];
    do
    :: k < LENGTH -> ENTRY(i, k) = 0; k++
    :: else -> break
    od;
    if
    :: !isLeader[i] -> MATCH(i, 0) = 0; MATCH(i, 1) = 0; MATCH(i, 2) = 0
    :: else -> granted[i] = 0
    fi;
    i++
  :: else -> break
  od;
  i = 0; j = 0; k = 0
}

active proctype system () {
  byte i, j, k;
  do
  :: atomic {
      if :: i = 0 :: i = 1 :: i = 2 fi;
      if :: j = 0 :: j = 1 :: j = 2 fi;
      if
      :: !excluded[i] && !isLeader[i] && term[i] < TERMS && j == i -> d_step { campaign(i); skip }
      :: i != j && !excluded[i] && !excluded[j] && !isLeader[i] && CONTAINS(granted[i], i) && !CONTAINS(granted[i], j) && term[j] <= term[i] -> d_step { requestVote(i, j); skip }
      :: j == i && !isLeader[i] && CONTAINS(granted[i], 0) + CONTAINS(granted[i], 1) + CONTAINS(granted[i], 2) >= MAJORITY -> d_step { becomeLeader(i); skip }
      :: j == i && isLeader[i] && length[i] < LENGTH -> ENTRY(i, length[i]) = term[i]; length[i]++
      :: i != j && isLeader[i] && !excluded[j] && term[j] <= term[i] && MATCH(i, j) < length[i] -> d_step { replicate(i, j); skip }
      :: i != j && isLeader[i] && MATCH(i, j) > 0 && CAN_COMMIT(i, MATCH(i, j) - 1) -> d_step { commit(i, MATCH(i, j)); skip }
      :: j == i && CAN_CRASH(i) -> crash(i)
      :: j == i && !excluded[i] && diskLosses < DISK_LOSSES -> d_step { loseDisk(i); skip }
      :: else -> skip
      fi;
      d_step { canonicalise(); skip }
    }
  od
}
