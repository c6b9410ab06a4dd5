// The replicated log with three replicas: votes, replication, commit, crashes with and without the disk.
// An exchange of two replicas is one step; a replica that was cut off may go on with an old term at any time.
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
#define LOSSES 1

#define ENTRY(i, k) entry[(i) * LENGTH + (k)]
#define MATCH(i, j) match[(i) * N + (j)]
#ifdef NO_OWN_TERM_COMMIT
#define IS_OWN(i, k) true
#else
#define IS_OWN(i, k) (ENTRY(i, k) == term[i])
#endif
#ifdef ACKNOWLEDGE_BEFORE_SYNC
#define CAN_CRASH(i) (leads[i] || granted[i] != 0 || length[i] > 0)
#elif defined(NO_DURABLE_VOTE)
#define CAN_CRASH(i) (voted[i] != 0)
#else
#define CAN_CRASH(i) (leads[i] || granted[i] != 0)
#endif
#ifdef VOTE_TWICE
#define MAY_VOTE(i, j) true
#else
#define MAY_VOTE(i, j) (voted[j] == 0 || voted[j] == i + 1)
#endif
#ifdef NO_LOG_COMPARISON
#define IS_UP_TO_DATE(i, j) true
#else
#define LAST(i) ENTRY(i, length[i] - 1)
#define IS_UP_TO_DATE(i, j) (length[j] == 0 || (length[i] > 0 && (LAST(i) > LAST(j) || (LAST(i) == LAST(j) && length[i] >= length[j]))))
#endif
#define HAS(set, i) (((set) >> (i)) & 1)

byte term[N];
byte voted[N];            // candidate of the current term plus one, 0 for none
byte length[N];
byte entry[N * LENGTH];   // term of each entry
bool leads[N];
byte granted[N];          // set of replicas whose vote a candidate has in its term
byte match[N * N];        // last index that a leader knows to be on another replica
bool blank[N];            // lost its disk: never votes again under this identity
byte committed[LENGTH];   // term of the committed entry, 0 for none
byte committedIn[LENGTH]; // term of the leader that committed it first
byte losses;

inline raise (i, t) {
  if
  :: t > term[i] -> term[i] = t; voted[i] = 0; leads[i] = false; granted[i] = 0
  :: else -> skip
  fi
}

inline campaign (i) {
  raise(i, term[i] + 1);
  voted[i] = i + 1;
  granted[i] = 1 << i
}

inline ask (i, j) {
  raise(j, term[i]);
  if
  :: MAY_VOTE(i, j) && IS_UP_TO_DATE(i, j) ->
    voted[j] = i + 1;
    granted[i] = granted[i] | (1 << j)
  :: else -> skip
  fi
}

// A leader holds every entry that a leader of an earlier term committed.
inline lead (i) {
  leads[i] = true;
  MATCH(i, 0) = 0; MATCH(i, 1) = 0; MATCH(i, 2) = 0;
  k = 0;
  do
  :: k < N -> assert(!(k != i && leads[k] && term[k] == term[i])); k++
  :: else -> break
  od;
  k = 0;
  do
  :: k < LENGTH ->
    assert(committed[k] == 0 || committedIn[k] >= term[i] || (k < length[i] && ENTRY(i, k) == committed[k]));
    k++
  :: else -> break
  od
}

inline replicate (i, j) {
  raise(j, term[i]);
  leads[j] = false;
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
    :: committed[k] == 0 || committedIn[k] > term[i] -> committedIn[k] = term[i]
    :: else -> skip
    fi;
    committed[k] = ENTRY(i, k);
    k++
  :: else -> break
  od
}

inline crash (i) {
  leads[i] = false;
  granted[i] = 0;
#ifdef NO_DURABLE_VOTE
  voted[i] = 0;
#endif
#ifdef ACKNOWLEDGE_BEFORE_SYNC
  if
  :: length[i] > 0 -> length[i]--
  :: true -> skip
  fi
#endif
}

inline loseDisk (i) {
  losses++;
  leads[i] = false;
  granted[i] = 0;
  term[i] = 0;
  voted[i] = 0;
  length[i] = 0;
#ifndef IDENTITY_WITHOUT_DISK
  blank[i] = true
#endif
}

// Clears entries behind the end of a log, so that equal logs are equal states.
inline normalise () {
  i = 0;
  do
  :: i < N ->
    k = length[i];
    do
    :: k < LENGTH -> ENTRY(i, k) = 0; k++
    :: else -> break
    od;
    if
    :: !leads[i] -> MATCH(i, 0) = 0; MATCH(i, 1) = 0; MATCH(i, 2) = 0
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
      :: !blank[i] && !leads[i] && term[i] < TERMS && j == i -> d_step { campaign(i); skip }
      :: i != j && !blank[i] && !blank[j] && !leads[i] && HAS(granted[i], i) && !HAS(granted[i], j) && term[j] <= term[i] -> d_step { ask(i, j); skip }
      :: j == i && !leads[i] && HAS(granted[i], 0) + HAS(granted[i], 1) + HAS(granted[i], 2) >= MAJORITY -> d_step { lead(i); skip }
      :: j == i && leads[i] && length[i] < LENGTH -> ENTRY(i, length[i]) = term[i]; length[i]++
      :: i != j && leads[i] && !blank[j] && term[j] <= term[i] && MATCH(i, j) < length[i] -> d_step { replicate(i, j); skip }
      :: i != j && leads[i] && MATCH(i, j) > 0 && IS_OWN(i, MATCH(i, j) - 1) -> d_step { commit(i, MATCH(i, j)); skip }
      :: j == i && CAN_CRASH(i) -> crash(i)
      :: j == i && !blank[i] && losses < LOSSES -> d_step { loseDisk(i); skip }
      :: else -> skip
      fi;
      d_step { normalise(); skip }
    }
  od
}
