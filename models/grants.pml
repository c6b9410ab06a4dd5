// One item of a job on a non-idempotent route, two holders of grants, lost and late messages, expired sessions and a
// cancellation. The item ends once, is sent at most once, and is not sent after the cancellation was answered.
// variant: NO_GRANT_CHECK
// variant: NO_START_RECORD
// variant: NO_CLOCK_MARGIN
// variant: CANCEL_ANSWERED_AT_ONCE
// variant: RESTART_STARTED_ITEM
#define HOLDERS 2
#define GRANTS 3

mtype = { waiting, granted, started, ended };

mtype phase = waiting;
byte grant;               // number of the current grant; only grows
byte owner;
byte ends;
byte sends;
bool cancelled;
bool cancelAnswered;
bool session[HOLDERS];    // what control believes
bool live[HOLDERS];       // what the holder believes, by its own clock
byte offer[HOLDERS];      // grant on its way to the holder, 0 for none
byte held[HOLDERS];       // grant that the holder knows, 0 for none
bool maySend[HOLDERS];    // control has recorded the start
byte running[HOLDERS];    // grant under which the holder's request runs, 0 for none
byte completion[HOLDERS]; // grant whose completion is on its way, 0 for none
bool seen[HOLDERS];       // the holder knows of the cancellation

inline stop (h) {
  held[h] = 0;
  maySend[h] = false;
  running[h] = 0
}

inline takeBack (h) {
  if
  :: owner == h && phase == granted -> phase = waiting
#ifdef RESTART_STARTED_ITEM
  :: owner == h && phase == started -> phase = waiting
#else
  :: owner == h && phase == started -> phase = ended; ends++
#endif
  :: else -> skip
  fi
}

inline receiveCompletion (h) {
  if
#ifdef NO_GRANT_CHECK
  :: true -> phase = ended; ends++
#else
  :: completion[h] == grant && owner == h && (phase == granted || phase == started) -> phase = ended; ends++
  :: else -> skip
#endif
  fi;
  completion[h] = 0;
  assert(ends <= 1)
}

#ifdef NO_CLOCK_MARGIN
#define HAS_STOPPED(h) true
#else
#define HAS_STOPPED(h) (!live[h])
#endif

#ifdef NO_START_RECORD
#define IS_READY(h) (held[h] != 0)
#else
#define IS_READY(h) maySend[h]
#endif

#ifdef CANCEL_ANSWERED_AT_ONCE
#define IS_STILL(h) true
#else
#define IS_STILL(h) (!session[h] || seen[h] || owner != h || (phase != granted && phase != started))
#endif

active proctype system () {
  byte h;
  live[0] = true; live[1] = true; session[0] = true; session[1] = true; owner = HOLDERS;
  do
  :: atomic {
      if :: h = 0 :: h = 1 fi;
      if
      :: phase == waiting && !cancelled && session[h] && grant < GRANTS -> grant++; owner = h; phase = granted; offer[h] = grant
      :: offer[h] != 0 -> offer[h] = 0    // lost
      :: offer[h] != 0 && live[h] -> held[h] = (seen[h] -> 0 : offer[h]); offer[h] = 0
      :: held[h] != 0 && live[h] && !maySend[h] && running[h] == 0 && held[h] == grant && owner == h && phase == granted && !cancelled ->
        phase = started; maySend[h] = true
      :: IS_READY(h) && live[h] && !seen[h] && running[h] == 0 ->
        assert(!cancelAnswered);
        sends++;
        assert(sends <= 1);
        running[h] = held[h]; maySend[h] = false; held[h] = 0
      :: running[h] != 0 && completion[h] == 0 -> completion[h] = running[h]; running[h] = 0
      :: completion[h] != 0 -> receiveCompletion(h)
      :: completion[h] != 0 -> completion[h] = 0    // lost; the session ends the item later
      :: live[h] -> live[h] = false; stop(h)
      :: !live[h] && !session[h] -> live[h] = true; session[h] = true; seen[h] = cancelled; offer[h] = 0
      :: session[h] && HAS_STOPPED(h) -> session[h] = false; takeBack(h)
      :: !cancelled -> cancelled = true
      :: cancelled && session[h] && live[h] && !seen[h] -> seen[h] = true; stop(h)
      :: cancelled && !cancelAnswered && IS_STILL(0) && IS_STILL(1) ->
        cancelAnswered = true;
        assert(running[0] == 0 && running[1] == 0)
      :: else -> skip
      fi;
      h = 0
    }
  od
}
