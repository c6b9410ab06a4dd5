// Grants of one item of a job on a non-idempotent route, with two holders, lost and late messages, expiring sessions and a
// cancellation. Checks that the item ends at most once, is sent at most once, and is neither sent nor in progress once the
// cancellation has been answered. Each variant switches one safety rule off and must lead to a violation.
// variant: NO_GRANT_CHECK
// variant: NO_START_RECORD
// variant: NO_CLOCK_MARGIN
// variant: CANCEL_ANSWERED_AT_ONCE
// variant: RESTART_STARTED_ITEM
#define HOLDERS 2
#define GRANTS 3

mtype = { waiting, granted, started, ended };

mtype phase = waiting;
byte grant;                        // number of the current grant; only increases
byte owner;                        // holder of the current grant
byte ends;                         // how often the item has ended
byte sends;                        // how often the item has been sent to a backend server
bool cancelled;
bool cancelAnswered;
bool sessionOpen[HOLDERS];         // state of the holder's session on control
bool holderActive[HOLDERS];        // state of the session on the holder, by its own clock
byte grantInTransit[HOLDERS];      // grant in a message to the holder, 0 for none
byte heldGrant[HOLDERS];           // grant that the holder has received, 0 for none
bool startRecorded[HOLDERS];       // control has recorded the start of the item and permits the holder to send it
byte runningGrant[HOLDERS];        // grant under which the holder's request is in progress, 0 for none
byte completionInTransit[HOLDERS]; // grant whose completion is in a message to control, 0 for none
bool knowsCancelled[HOLDERS];      // the holder has been notified of the cancellation

inline stopHolder (h) {
  heldGrant[h] = 0;
  startRecorded[h] = false;
  runningGrant[h] = 0
}

// Control expires the session of a holder: an item that may have been sent ends, any other one waits again.
inline reclaim (h) {
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
  :: completionInTransit[h] == grant && owner == h && (phase == granted || phase == started) -> phase = ended; ends++
  :: else -> skip
#endif
  fi;
  completionInTransit[h] = 0;
  assert(ends <= 1)
}

// Control expires a session only after the holder, by its own clock, has stopped.
#ifdef NO_CLOCK_MARGIN
#define MAY_EXPIRE(h) true
#else
#define MAY_EXPIRE(h) (!holderActive[h])
#endif

// A holder sends an item only after control has recorded the start.
#ifdef NO_START_RECORD
#define MAY_SEND(h) (heldGrant[h] != 0)
#else
#define MAY_SEND(h) startRecorded[h]
#endif

// Whether control has established that the holder does not send the item any more.
#ifdef CANCEL_ANSWERED_AT_ONCE
#define KNOWN_STOPPED(h) true
#else
#define KNOWN_STOPPED(h) (!sessionOpen[h] || knowsCancelled[h] || owner != h || (phase != granted && phase != started))
#endif

active proctype system () {
  byte h;
  holderActive[0] = true; holderActive[1] = true; sessionOpen[0] = true; sessionOpen[1] = true; owner = HOLDERS;
  do
  :: atomic {
      if :: h = 0 :: h = 1 fi;
      if
      :: phase == waiting && !cancelled && sessionOpen[h] && grant < GRANTS -> grant++; owner = h; phase = granted; grantInTransit[h] = grant
      :: grantInTransit[h] != 0 -> grantInTransit[h] = 0    // message lost
      :: grantInTransit[h] != 0 && holderActive[h] -> heldGrant[h] = (knowsCancelled[h] -> 0 : grantInTransit[h]); grantInTransit[h] = 0
      :: heldGrant[h] != 0 && holderActive[h] && !startRecorded[h] && runningGrant[h] == 0 && heldGrant[h] == grant && owner == h && phase == granted && !cancelled ->
        phase = started; startRecorded[h] = true
      :: MAY_SEND(h) && holderActive[h] && !knowsCancelled[h] && runningGrant[h] == 0 ->
        assert(!cancelAnswered);
        sends++;
        assert(sends <= 1);
        runningGrant[h] = heldGrant[h]; startRecorded[h] = false; heldGrant[h] = 0
      :: runningGrant[h] != 0 && completionInTransit[h] == 0 -> completionInTransit[h] = runningGrant[h]; runningGrant[h] = 0
      :: completionInTransit[h] != 0 -> receiveCompletion(h)
      :: completionInTransit[h] != 0 -> completionInTransit[h] = 0    // lost; the expiry of the session ends the item later
      :: holderActive[h] -> holderActive[h] = false; stopHolder(h)
      :: !holderActive[h] && !sessionOpen[h] -> holderActive[h] = true; sessionOpen[h] = true; knowsCancelled[h] = cancelled; grantInTransit[h] = 0
      :: sessionOpen[h] && MAY_EXPIRE(h) -> sessionOpen[h] = false; reclaim(h)
      :: !cancelled -> cancelled = true
      :: cancelled && sessionOpen[h] && holderActive[h] && !knowsCancelled[h] -> knowsCancelled[h] = true; stopHolder(h)
      :: cancelled && !cancelAnswered && KNOWN_STOPPED(0) && KNOWN_STOPPED(1) ->
        cancelAnswered = true;
        assert(runningGrant[0] == 0 && runningGrant[1] == 0)
      :: else -> skip
      fi;
      h = 0
    }
  od
}
