/* Model of token transfers between two processes of a team's share, with lost, duplicated and late
 * messages and a restart of the lender. Checks that the tokens that can be spent never exceed the
 * two caps.
 *
 * A transfer is one token. It expires TTL time steps after it was sent, and a restarted process
 * accrues nothing for TTL steps. The check must fail when NO_HOLD is defined (a restarted process
 * accrues at once) or NO_COUNT is defined (the lender does not count tokens in flight).
 */
#define CAP 2
#define TTL 4
#define END 8

byte now = 0;               /* time steps since the start */
byte level[2] = CAP;        /* tokens that each process holds */
byte in_flight[2];          /* tokens lent by each process, neither confirmed nor expired */
byte lent_at[2];
byte accrues_from[2];       /* time from which each process accrues tokens */
bool message = false;       /* a transfer from 0 to 1 is in flight */
byte message_sent = 0;
bool accepted = false;      /* the borrower has accepted it */
byte accrued = 0;           /* tokens that both processes have accrued */

inline accrue(p) {
  if
  :: now >= accrues_from[p] && level[p] + in_flight[p] < CAP -> level[p]++; accrued++
  :: else -> skip
  fi
}

inline expire(p) {
  if
  :: in_flight[p] > 0 && now >= lent_at[p] + TTL -> in_flight[p] = 0
  :: else -> skip
  fi
}

byte spent = 0;             /* tokens that both processes have spent */

active proctype Fleet() {
  do
  :: now < END -> atomic {
       now++;
       expire(0); expire(1);
       accrue(0); accrue(1)
     }
  :: atomic { !message && level[0] > 0 && in_flight[0] == 0 && !accepted ->   /* lend */
       level[0]--;
#ifndef NO_COUNT
       in_flight[0]++;
#endif
       lent_at[0] = now; message = true; message_sent = now }
  :: atomic { message && !accepted && now < message_sent + TTL ->             /* accept and spend */
       accepted = true; spent++ }
  :: atomic { message && accepted -> message = false; in_flight[0] = 0 }      /* confirm */
  :: atomic { message && now >= message_sent + TTL -> message = false }       /* lost or late */
  :: atomic { level[0] > 0 -> level[0]--; spent++ }
  :: atomic { level[1] > 0 -> level[1]--; spent++ }
  :: atomic { in_flight[0] > 0 || level[0] > 0 ->                             /* lender restarts */
       level[0] = 0; in_flight[0] = 0;
#ifndef NO_HOLD
       accrues_from[0] = now + TTL
#else
       accrues_from[0] = now
#endif
     }
  :: break
  od;
  /* Every spent token was held at the start or accrued since. */
  assert(spent <= 2 * CAP + accrued)
}

/* Tokens that can be spent at one moment: both levels and the transfer in flight. */
active proctype Monitor() {
  assert(level[0] + level[1] + (message && !accepted && now < message_sent + TTL -> 1 : 0) <= 2 * CAP)
}
