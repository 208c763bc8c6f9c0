/* Model of one ticket that is sent to two VMs while its minter may be killed, restarted or paused
 * past the ticket's expiry. Checks that the request is sent to an endpoint at most once, and that
 * an answer that reports it as not run is true. VM 0 minted the ticket. VM 1 forwards it to VM 0
 * and never runs the request.
 */
#define COPIES 3

mtype = { ask, answer };
mtype = { ran_yes, ran_no, ran_unknown };

chan to_minter = [COPIES] of { byte };            /* copy number; may be lost */
chan to_caller[COPIES] = [1] of { mtype };

byte incarnation = 1;       /* of the process on VM 0; the ticket was minted by 1 */
bool record_used = false;   /* record of that process: the run was claimed */
bool expired = false;
byte sends = 0;             /* times the request was sent to an endpoint */
byte not_run_answers = 0;   /* answers that reported the request as not run */
byte copies_done = 0;

/* The minter checks a copy of the ticket and claims the run, in one step under its lock. */
inline claim(copy, outcome) {
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
  byte claim_incarnation;
  if
  :: forwarded -> goto unreachable      /* VM 1 and VM 0 are partitioned */
  :: true -> skip
  fi;
  claim(number, outcome);
  claim_incarnation = incarnation;
  if
  :: outcome == ran_yes ->
     /* The process may be killed between the claim and the send; then it does not send. */
     if
     :: incarnation == claim_incarnation -> sends++ ; assert(sends <= 1)
     :: incarnation != claim_incarnation -> outcome = ran_unknown
     fi;
     /* The endpoint may close the connection after reading the request: then the outcome is
      * unknown, and the run stays claimed. */
     if
     :: true -> skip
     :: outcome == ran_yes -> outcome = ran_unknown
     fi
  :: outcome == ran_no -> not_run_answers++
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
  assert(sends <= 1);
  /* When all copies were refused as not run, the request was not sent. */
  assert(!(not_run_answers == COPIES && sends > 0))
}
