/* Transfers of a team's tokens between two processes, with loss, doubling, late delivery and a
 * restart of the lender. Checked: tokens that can be spent never exceed the two caps.
 *
 * A transfer is one token. Time is a counter of lifetimes: a transfer is dead TTL
 * steps after it was sent, and a restarted process earns nothing until then. Define NO_HOLD or NO_COUNT to see
 * the bound break.
 */
#define CAP 2
#define TTL 4
#define END 8

byte now = 0;
byte level[2] = CAP;        /* tokens that each process holds */
byte in_flight[2];          /* tokens lent and not yet confirmed or expired, as the lender counts */
byte lent_at[2];
byte earns_from[2];
bool message = false;       /* a transfer from 0 to 1 is under way */
byte message_sent = 0;
bool accepted = false;      /* the borrower has taken it in */
byte budget = 0;            /* tokens that the whole fleet earned so far */

inline earn(p) {
  if
  :: now >= earns_from[p] && level[p] + in_flight[p] < CAP -> level[p]++; budget++
  :: else -> skip
  fi
}

inline expire(p) {
  if
  :: in_flight[p] > 0 && now >= lent_at[p] + TTL -> in_flight[p] = 0
  :: else -> skip
  fi
}

byte spent = 0;

active proctype Fleet() {
  do
  :: now < END -> atomic {
       now++;
       expire(0); expire(1);
       earn(0); earn(1)
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
       earns_from[0] = now + TTL
#else
       earns_from[0] = now
#endif
     }
  :: break
  od;
  /* Everything spent was held at the start or earned since. */
  assert(spent <= 2 * CAP + budget)
}

/* What can be spent at one moment: both levels and the transfer under way. */
active proctype Monitor() {
  assert(level[0] + level[1] + (message && !accepted && now < message_sent + TTL -> 1 : 0) <= 2 * CAP)
}
