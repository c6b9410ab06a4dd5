// Grants and completion of one item: a holder that was lost may still complete, and control may grant again.
// variant: NO_GRANT_CHECK
byte grant = 0;      // number of the current grant, 0 while the item waits
byte granted = 0;    // grants made so far
byte ends = 0;       // ends recorded
chan completions = [3] of { byte };

#define LIMIT 3

active proctype control () {
  byte number;
  do
  :: grant == 0 && granted < LIMIT && ends == 0 -> atomic { granted++; grant = granted }
  :: grant != 0 && ends == 0 -> grant = 0    // the holder's session expired
  :: completions ? number ->
    atomic {
      if
#ifdef NO_GRANT_CHECK
      :: true -> ends++
#else
      :: number == grant && ends == 0 -> ends++; grant = 0
      :: else -> skip
#endif
      fi;
      assert(ends <= 1)
    }
  :: granted == LIMIT && empty(completions) -> break
  od
}

active proctype holder () {
  byte mine = 0;
  do
  :: grant != 0 && grant != mine -> atomic { mine = grant; completions ! mine }
  :: granted == LIMIT -> break
  od
}
