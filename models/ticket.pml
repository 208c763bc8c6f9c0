/* One ticket sent to two VMs, with the minter killed, restarted and paused past expiry.
 * Checked: the request leaves for an endpoint at most once, and an answer that says "not run" is
 * true. VM 0 minted the ticket; VM 1 forwards to VM 0 and never runs it.
 */
#define COPIES 3

mtype = { ask, answer };
mtype = { ran_yes, ran_no, ran_unknown };

chan to_minter = [COPIES] of { byte };            /* copy number; may be lost */
chan to_caller[COPIES] = [1] of { mtype };

byte incarnation = 1;       /* of the process on VM 0; the ticket names 1 */
bool record_used = false;   /* memory of that process: the run was claimed */
bool expired = false;
byte left = 0;              /* times the request left for an endpoint */
byte said_no = 0;
byte copies_done = 0;

/* A copy arrives at the minter and is judged there, in one step under its lock. */
inline judge(copy, outcome) {
  atomic {
    if
    :: incarnation != 1 -> outcome = ran_unknown
    :: incarnation == 1 && record_used -> outcome = ran_unknown
    :: incarnation == 1 && !record_used && expired -> outcome = ran_no
    :: incarnation == 1 && !record_used && !expired -> record_used = true; outcome = ran_yes
    fi
  }
}

proctype Copy(byte number; bool forwarded) {
  mtype outcome;
  byte born;
  if
  :: forwarded -> goto unreachable      /* the partition lies between VM 1 and VM 0 */
  :: true -> skip
  fi;
  judge(number, outcome);
  born = incarnation;
  if
  :: outcome == ran_yes ->
     /* The process may die between the claim and the send, and never sends then. */
     if
     :: incarnation == born -> left++ ; assert(left <= 1)
     :: incarnation != born -> outcome = ran_unknown
     fi;
     /* The endpoint may close after reading: the outcome is unknown, the claim stays. */
     if
     :: true -> skip
     :: outcome == ran_yes -> outcome = ran_unknown
     fi
  :: outcome == ran_no -> said_no++
  :: else -> skip
  fi;
  goto finished;
unreachable:
  outcome = ran_unknown;
finished:
  copies_done++
}

proctype Faults() {
  do
  :: incarnation < 3 -> atomic { incarnation++; record_used = false }
  :: !expired -> expired = true
  :: break
  od
}

init {
  atomic {
    run Copy(0, false);
    run Copy(1, true);
    run Copy(2, false);
    run Faults()
  };
  (copies_done == COPIES);
  assert(left <= 1);
  /* All copies refused as not run means that nothing left. */
  assert(!(said_no == COPIES && left > 0))
}
