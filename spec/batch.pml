/*
 * The batch protocol of an availability zone: claim, start, lease, eviction,
 * takeover, fence, lapse and completion. README.md maps each action to the Go
 * code and says what is abstracted. check.sh runs every search.
 *
 * Sizes (NO owners, NW workers, NT tasks, E0 and E1 epochs, AMAX attempts) and
 * mutations (M_...) come from -D. Times are in ticks and are closed bounds.
 */

#ifndef NO
#define NO 2
#endif
#ifndef NW
#define NW 2
#endif
#ifndef NT
#define NT 1
#endif
#ifndef E0
#define E0 2 /* epochs of worker 0 */
#endif
#ifndef E1
#define E1 1 /* epochs of worker 1 */
#endif
#ifndef AMAX
#define AMAX 2 /* attempts at one task; a task beyond them is parked */
#endif
#ifndef FMAX
#define FMAX 2 /* epochs granted while faults last, with LIVE */
#endif

#ifndef ISOLATION
#define ISOLATION 1 /* how long after a read of the tail an owner acts */
#endif
#ifndef TTL
#define TTL 1 /* of a worker's lease */
#endif
#ifndef TASKTTL
#define TASKTTL 1 /* of a task's lease */
#endif
#define DRIFT 1 /* also makes the wait strictly longer than the bounds */

#ifdef M_WAIT_ONE_TTL
#define WAIT (ISOLATION + TTL + TASKTTL + DRIFT)
#else
#ifdef M_WAIT_NO_TTL
#define WAIT (ISOLATION + TASKTTL + DRIFT)
#else
#ifdef M_WAIT_NO_DRIFT
#define WAIT (ISOLATION + 2 * TTL + TASKTTL)
#else
#define WAIT (ISOLATION + 2 * TTL + TASKTTL + DRIFT)
#endif
#endif
#endif

/* How long an owner that gives up a worker waits, from its last call to it. */
#ifdef M_ABANDON_ONE_TTL
#define ABANDON (TTL + TASKTTL + DRIFT)
#else
#define ABANDON (2 * TTL + TASKTTL + DRIFT)
#endif

/* Record kinds. */
#define NONE 0
#define OWN 1
#define CLAIM 2
#define DONE 3
#define EVICTED 4
#define FENCE 5
#define LAPSE 6
#define RETURN 7

/* Task states in the fold. */
#define QUEUED 0
#define ESCROW 1
#define COMPLETE 2
#define PARKED 3

/* What an owner knows of its placement of an attempt. */
#define UNPLACED 0
#define SENT 1  /* Start sent, no answer */
#define SEEN 2  /* answered, or seen in a report, or adopted */
#define ENDED 3 /* the owner has asked to end this attempt */
#define RETURNED 4

/*
 * The fold of the stream. Copy LOG is the state after the last record; copy o
 * is what owner o folded at its last read of the tail.
 */
#define LOG NO
byte own_o[(NO + 1) * NW]; /* owner + 1 */
byte own_e[(NO + 1) * NW]; /* epoch */
byte tst[(NO + 1) * NT];
byte tow[(NO + 1) * NT]; /* owner + 1 of an escrowed task */
byte tat[(NO + 1) * NT]; /* current attempt */
byte tpl[(NO + 1) * NT]; /* worker + 1 where an Own record found it */
byte tpe[(NO + 1) * NT]; /* epoch of that record */
byte fen[NO + 1];        /* bits of fenced owners */
byte set[(NO + 1) * NO]; /* bits of workers to be taken or lapsed, per fenced owner */
byte completions[NT];

#define OO(v, w) own_o[(v) * NW + (w)]
#define OE(v, w) own_e[(v) * NW + (w)]
#define TST(v, t) tst[(v) * NT + (t)]
#define TOW(v, t) tow[(v) * NT + (t)]
#define TAT(v, t) tat[(v) * NT + (t)]
#define TPL(v, t) tpl[(v) * NT + (t)]
#define TPE(v, t) tpe[(v) * NT + (t)]
#define SET(v, a) set[(v) * NO + (a)]
/* The last owner is never fenced, so no bound of its own is ever relied on. */
#define TIMED(o) ((o) < NO - 1)
#define FENCED(v, a) ((fen[v] >> (a)) & 1)
#define MINE(o, t) (TST(o, t) == ESCROW && TOW(o, t) == (o) + 1)

/* Owners: local memory, one append in flight, one Start in flight. */
byte age[NO]; /* ticks since the last read of the tail was sent; ISOLATION+1 = too long */
bool halted[NO];
byte wait_[NO]; /* 0 = not waiting, 1 = waited, else ticks left + 1 */
byte waitf[NO]; /* bits of the fences it read before the wait began */
byte gw[NO];    /* worker + 1 that the owner has given up */
byte gt[NO];    /* its wait, counted as wait_ */
byte ps[NO * NT];
byte pw[NO * NT]; /* where it placed the attempt */
byte pe[NO * NT]; /* at which epoch */
byte p_k[NO], p_x[NO], p_y[NO];
byte p_h[NO * NT];                 /* held attempts of an Own record */
byte m_a[NO], m_t[NO], m_w[NO], m_e[NO]; /* Start; m_a = 0: none */

#define PS(o, t) ps[(o) * NT + (t)]
#define PW(o, t) pw[(o) * NT + (t)]
#define PE(o, t) pe[(o) * NT + (t)]
#define PH(o, t) p_h[(o) * NT + (t)]

/*
 * Workers. With RESTARTS, worker 0 may forget everything that often, and an
 * epoch holds a counter and the incarnation of the worker that granted it.
 */
byte ep[NW];
byte hd[NW]; /* holder + 1 */
byte ls[NW]; /* 0 = lease over, else ticks left + 1 */
bool rn[NW]; /* a renewal with Tasks is in flight */
byte ra[NW * NT]; /* attempt held, 0 = none */
byte rl[NW * NT]; /* 0 = result kept, else ticks left of the task's lease + 1 */

#define RA(w, t) ra[(w) * NT + (t)]
#define RL(w, t) rl[(w) * NT + (t)]
#define RUNS(w, t) (RA(w, t) != 0 && RL(w, t) != 0)
#define RESULT(w, t) (RA(w, t) != 0 && RL(w, t) == 0)

#ifdef RESTARTS
byte inc[NW]; /* incarnation */
byte p_b[NO]; /* of an Own: the recorded epoch that its owner knew before the grant */
#define LIVES (RESTARTS + 1)
#define COUNTER(w) (ep[w] / LIVES)
#define ABOVE(o, w) (OE(o, w) > ep[w] -> OE(o, w) : ep[w])
#ifdef M_EPOCH_OF_ANY_INCARNATION
#define NEXT_EPOCH(o, w) ((ABOVE(o, w) / LIVES + 1) * LIVES)
#else
#define NEXT_EPOCH(o, w) ((ABOVE(o, w) / LIVES + 1) * LIVES + inc[w])
#endif
#else
#define COUNTER(w) ep[w]
#define NEXT_EPOCH(o, w) (ep[w] + 1)
#endif

#ifdef LIVE
bool ok; /* faults have stopped */
bool dead[NO];
#define FAULTS (!ok)
#define DEAD(o) dead[o]
#define FOLDS (ok || TAT(LOG, 0) < 2) /* attempts are kept for the time after */
bool gone[NW]; /* a worker that stays lost */
#define EPOCHS(w) (ok -> (w == 0 -> E0 : E1) : FMAX)
#else
#define FAULTS true
#define DEAD(o) false
#define FOLDS true
#define EPOCHS(w) (w == 0 -> E0 : E1)
#endif

hidden byte i, j, a_, w_; /* scratch inside one step */

/* ---- the fold ---- */

inline requeue(t)
{
	TOW(LOG, t) = 0;
	TPL(LOG, t) = 0;
	TPE(LOG, t) = 0;
	if
	:: TAT(LOG, t) >= AMAX -> TST(LOG, t) = PARKED
	:: else ->
		TST(LOG, t) = QUEUED;
#ifndef M_SAME_ATTEMPT
		TAT(LOG, t)++
#endif
	fi
}

inline settle(a)
{
	for (i : 0 .. NT - 1) {
		if
		:: TST(LOG, i) == ESCROW && TOW(LOG, i) == (a) + 1 -> requeue(i)
		:: else
		fi
	}
}

/* cleared removes worker w from the set of fenced owner a. */
inline cleared(a, w)
{
	if
	:: (SET(LOG, a) >> (w)) & 1 ->
		SET(LOG, a) = SET(LOG, a) & ~(1 << (w));
#ifdef M_SETTLE_EARLY
		SET(LOG, a) = 0;
#endif
		if
		:: SET(LOG, a) == 0 -> settle(a)
		:: else
		fi
	:: else
	fi
}

/*
 * OWN_FOLLOWS(o, w): the incarnation of o's Own is the recorded one, or o knew
 * that one when it asked for the grant, which makes its own the later one.
 */
#ifndef RESTARTS
#define OWN_FOLLOWS(o, w) true
#else
#ifdef M_OWN_OF_ANY_INCARNATION
#define OWN_FOLLOWS(o, w) true
#else
#define OWN_FOLLOWS(o, w) (p_y[o] % LIVES == OE(LOG, w) % LIVES || p_b[o] == OE(LOG, w))
#endif
#endif

inline fold_own(o)
{
	w_ = p_x[o];
	if
#ifdef M_OWN_ANY_EPOCH
	:: true ->
#else
	:: p_y[o] > OE(LOG, w_) && OWN_FOLLOWS(o, w_) ->
#endif
		OO(LOG, w_) = o + 1;
		OE(LOG, w_) = p_y[o];
		for (j : 0 .. NT - 1) {
			if
#ifdef M_HELD_ANY_ATTEMPT
			:: PH(o, j) != 0 && TST(LOG, j) == ESCROW ->
#else
			:: PH(o, j) != 0 && TST(LOG, j) == ESCROW && TAT(LOG, j) == PH(o, j) ->
#endif
#ifndef M_HELD_NOT_MOVED
				TOW(LOG, j) = o + 1;
				TPL(LOG, j) = w_ + 1;
				TPE(LOG, j) = p_y[o]
#else
				skip
#endif
			:: else
			fi
		}
		for (a_ : 0 .. NO - 1) {
			cleared(a_, w_)
		}
	:: else
	fi
}

inline fold_fence(o)
{
	j = p_x[o];
	if
	:: !FENCED(LOG, j) ->
		fen[LOG] = fen[LOG] | (1 << j);
		SET(LOG, j) = 0;
		for (w_ : 0 .. NW - 1) {
			if
			:: OO(LOG, w_) == j + 1 -> SET(LOG, j) = SET(LOG, j) | (1 << w_)
			:: else
			fi
		}
		if
		:: SET(LOG, j) == 0 -> settle(j)
		:: else
		fi
	:: else
	fi
}

inline fold_lapse(o)
{
	w_ = p_x[o];
	if
#ifdef M_LAPSE_ANY_EPOCH
	:: OO(LOG, w_) != 0 && FENCED(LOG, OO(LOG, w_) - 1) ->
#else
	:: OO(LOG, w_) != 0 && FENCED(LOG, OO(LOG, w_) - 1) && OE(LOG, w_) == p_y[o] ->
#endif
		a_ = OO(LOG, w_) - 1;
		cleared(a_, w_)
	:: else
	fi
}

#ifdef M_DONE_ANY_ATTEMPT
#define DONE_ATTEMPT true
#else
#define DONE_ATTEMPT (TAT(LOG, p_x[o]) == p_y[o])
#endif
#ifdef M_DONE_ANY_WRITER
#define DONE_WRITER true
#else
#define DONE_WRITER (TOW(LOG, p_x[o]) == o + 1)
#endif
#ifdef M_DONE_TWICE
#define DONE_STATE (TST(LOG, p_x[o]) == ESCROW || TST(LOG, p_x[o]) == COMPLETE)
#else
#define DONE_STATE (TST(LOG, p_x[o]) == ESCROW)
#endif
#ifdef M_EVICTED_ANY_ATTEMPT
#define EVICTED_ATTEMPT true
#else
#define EVICTED_ATTEMPT (TAT(LOG, p_x[o]) == p_y[o])
#endif
#ifdef M_EVICTED_ANY_WRITER
#define EVICTED_WRITER true
#else
#define EVICTED_WRITER (TOW(LOG, p_x[o]) == o + 1)
#endif
#ifdef M_RETURN_ANY_PLACE
#define RETURN_PLACE true
#else
#define RETURN_PLACE (TPL(LOG, p_x[o]) == 0)
#endif
#ifdef M_CLAIM_ANY_STATE
#define CLAIM_STATE (TST(LOG, p_x[o]) == QUEUED || TST(LOG, p_x[o]) == ESCROW)
#else
#define CLAIM_STATE (TST(LOG, p_x[o]) == QUEUED)
#endif
#ifdef M_OWN_AFTER_FENCE
#define VOID (FENCED(LOG, o) && p_k[o] != OWN)
#else
#ifdef M_CLAIM_AFTER_FENCE
#define VOID (FENCED(LOG, o) && p_k[o] != CLAIM)
#else
#define VOID FENCED(LOG, o)
#endif
#endif

inline fold(o)
{
	printf("log takes owner %d's record kind %d (%d, %d)\n", o, p_k[o], p_x[o], p_y[o]);
	if
	:: VOID
	:: else ->
		if
		:: p_k[o] == OWN -> fold_own(o)
		:: p_k[o] == CLAIM ->
			if
			:: CLAIM_STATE ->
				TST(LOG, p_x[o]) = ESCROW;
				TOW(LOG, p_x[o]) = o + 1
			:: else
			fi
		:: p_k[o] == RETURN ->
			if
			:: TST(LOG, p_x[o]) == ESCROW && TOW(LOG, p_x[o]) == o + 1 && RETURN_PLACE ->
				TST(LOG, p_x[o]) = QUEUED;
				TOW(LOG, p_x[o]) = 0
			:: else
			fi
		:: p_k[o] == DONE ->
			if
			:: DONE_ATTEMPT && DONE_WRITER && DONE_STATE ->
				TST(LOG, p_x[o]) = COMPLETE;
#ifndef M_DONE_TWICE
				TOW(LOG, p_x[o]) = 0;
#endif
				TPL(LOG, p_x[o]) = 0;
				TPE(LOG, p_x[o]) = 0;
				completions[p_x[o]]++
			:: else
			fi
		:: p_k[o] == EVICTED ->
			if
			:: TST(LOG, p_x[o]) == ESCROW && EVICTED_ATTEMPT && EVICTED_WRITER ->
				w_ = p_x[o];
				requeue(w_)
			:: else
			fi
		:: p_k[o] == FENCE -> fold_fence(o)
		:: p_k[o] == LAPSE -> fold_lapse(o)
		fi
	fi;
	clear_append(o)
}

inline clear_append(o)
{
	p_k[o] = NONE;
	p_x[o] = 0;
	p_y[o] = 0;
#ifdef RESTARTS
	p_b[o] = 0;
#endif
	for (j : 0 .. NT - 1) {
		PH(o, j) = 0
	}
}

inline append(o, k, x, y)
{
	printf("owner %d sends record kind %d (%d, %d)\n", o, k, x, y);
	p_k[o] = k;
	p_x[o] = x;
	p_y[o] = y
}

/* The stream: an append takes effect at any later time, or never. */
proctype stream()
{
	do
	:: d_step { p_k[0] != NONE && FOLDS -> fold(0); skip }
	:: d_step { p_k[1] != NONE && FOLDS -> fold(1); skip }
	:: d_step { p_k[0] != NONE && FAULTS -> clear_append(0); skip }
	:: d_step { p_k[1] != NONE && FAULTS -> clear_append(1); skip }
#if NO > 2
	:: d_step { p_k[2] != NONE && FOLDS -> fold(2); skip }
	:: d_step { p_k[2] != NONE && FAULTS -> clear_append(2); skip }
#endif
	od
}

/* ---- owners ---- */

inline forget(o, t)
{
	PS(o, t) = UNPLACED;
	PW(o, t) = 0;
	PE(o, t) = 0
}

/* halt: an owner that reads its own fence does nothing more under this name. */
inline halt(o)
{
	printf("owner %d reads its fence and halts\n", o);
	halted[o] = true;
	age[o] = 0;
	wait_[o] = 0;
	waitf[o] = 0;
	gw[o] = 0;
	gt[o] = 0;
	fen[o] = 0;
	for (i : 0 .. NW - 1) {
		OO(o, i) = 0;
		OE(o, i) = 0
	}
	for (i : 0 .. NO - 1) {
		SET(o, i) = 0
	}
	for (i : 0 .. NT - 1) {
		TST(o, i) = 0;
		TOW(o, i) = 0;
		TAT(o, i) = 0;
		TPL(o, i) = 0;
		TPE(o, i) = 0;
		forget(o, i)
	}
}

inline note_place(o, t)
{
	if
	:: !MINE(o, t) -> forget(o, t)
	:: MINE(o, t) && TPL(o, t) != 0 && (PS(o, t) == UNPLACED || PE(o, t) != TPE(o, t) || PW(o, t) != TPL(o, t) - 1) ->
		PS(o, t) = SEEN;
		PW(o, t) = TPL(o, t) - 1;
		PE(o, t) = TPE(o, t)
	:: else
	fi
}

#ifdef M_NO_ISOLATION
#define FRESH(o) true
#else
#define FRESH(o) (age[o] <= ISOLATION)
#endif

/* HELD(o, w): o renews w's lease with Tasks, its Own record being read back. */
#ifdef M_EXTEND_BEFORE_ADOPTION
#define HELD(o, w) (hd[w] == (o) + 1 && !halted[o])
#else
#define HELD(o, w) (hd[w] == (o) + 1 && !halted[o] && gw[o] != (w) + 1 && OO(o, w) == (o) + 1 && OE(o, w) == ep[w])
#endif
#define BARE(o, w) (hd[w] == (o) + 1 && UP(o) && !(OO(o, w) == (o) + 1 && OE(o, w) == ep[w]))

/* renew: a renewal with Tasks takes effect at worker w. */
inline renew(w)
{
	ls[w] = TTL + 1;
	for (a_ : 0 .. NT - 1) {
		if
		:: RUNS(w, a_) -> RL(w, a_) = TASKTTL + 1
		:: else
		fi
	}
}

inline read_tail(o)
{
	printf("owner %d reads the tail\n", o);
	age[o] = 0;
	fen[o] = fen[LOG];
	for (i : 0 .. NW - 1) {
		if
		:: gw[o] == i + 1 && OE(o, i) != OE(LOG, i) ->
			gw[o] = 0;
			gt[o] = 0
		:: else
		fi;
		OO(o, i) = OO(LOG, i);
		OE(o, i) = OE(LOG, i)
	}
	for (i : 0 .. NO - 1) {
		SET(o, i) = SET(LOG, i)
	}
	for (i : 0 .. NT - 1) {
		if
		:: TAT(o, i) != TAT(LOG, i) -> forget(o, i)
		:: else
		fi;
		TST(o, i) = TST(LOG, i);
		TOW(o, i) = TOW(LOG, i);
		TAT(o, i) = TAT(LOG, i);
		TPL(o, i) = TPL(LOG, i);
		TPE(o, i) = TPE(LOG, i);
		note_place(o, i);
		if
		:: !MINE(o, i) ->
			TOW(o, i) = 0;
			TPL(o, i) = 0;
			TPE(o, i) = 0
		:: else
		fi
	}
	for (w_ : 0 .. NW - 1) {
		if
		:: HELD(o, w_) && ls[w_] > 0 ->
			renew(w_);
			rn[w_] = TIMED(o)
		:: else
		fi
	}
}

inline grant(o, w)
{
	printf("worker %d grants epoch %d to owner %d (lease left %d)\n", w, NEXT_EPOCH(o, w), o, ls[w]);
	ep[w] = NEXT_EPOCH(o, w);
	hd[w] = o + 1;
	ls[w] = TTL + 1;
	rn[w] = false;
	append(o, OWN, w, ep[w]);
#ifdef RESTARTS
	p_b[o] = OE(o, w);
#endif
	for (i : 0 .. NT - 1) {
		PH(o, i) = RA(w, i)
	}
}

#define UP(o) (!halted[o] && !DEAD(o))
#define SAME_TASK(o, t) (TST(o, t) == TST(LOG, t) && TAT(o, t) == TAT(LOG, t) && MINE(o, t) == (TST(LOG, t) == ESCROW && TOW(LOG, t) == o + 1) && (!MINE(o, t) || (TPL(o, t) == TPL(LOG, t) && TPE(o, t) == TPE(LOG, t))))
#define SAME_WORKER(o, w) (OO(o, w) == OO(LOG, w) && OE(o, w) == OE(LOG, w))

#ifdef LIVE
#define READS (!ok || READ_DUE)
#define READ_DUE (age[o] > 0 || !SAME_WORKER(o, 0) || !SAME_WORKER(o, 1) || !SAME_TASK(o, 0) || fen[o] != fen[LOG] || SET(o, 0) != SET(LOG, 0) || SET(o, 1) != SET(LOG, 1))
#define FREE(o) (UP(o) && p_k[o] == NONE && (!ok || !READ_DUE))
#else
#define READS true
#define FREE(o) (UP(o) && p_k[o] == NONE)
#endif
/* By symmetry the first grant of all is on worker 0, where the workers are alike. */
#if E0 == E1 && !defined(LIVE)
#define FIRST(w) (ep[0] != 0 || w == 0)
#else
#define FIRST(w) true
#endif
/*
 * By symmetry owner 0 is the first to be fenced. With two owners no second
 * fence can count, as its writer is fenced.
 */
#if NO > 2
#define FENCEABLE(a) (a == 0 || (a == 1 && FENCED(LOG, 0)))
#else
#define FENCEABLE(a) (a == 0)
#endif
#define READBACK(o, w) (OO(o, w) == o + 1)
#ifdef M_START_BEFORE_READBACK
#define MAYSTART(o, w) (READBACK(o, w) || hd[w] == o + 1)
#define STARTEPOCH(o, w) (hd[w] == o + 1 -> ep[w] : OE(o, w))
#else
#define MAYSTART(o, w) READBACK(o, w)
#define STARTEPOCH(o, w) OE(o, w)
#endif
#ifdef M_CAPACITY_OWN_STARTS_ONLY
#define COUNTS(o, w, t) (MINE(o, t) && (PS(o, t) == SENT || PS(o, t) == SEEN) && PW(o, t) == w && TPL(o, t) == 0)
#else
#ifdef M_CAPACITY_ANSWERED_ONLY
#define COUNTS(o, w, t) (MINE(o, t) && PS(o, t) == SEEN && PW(o, t) == w)
#else
#define COUNTS(o, w, t) (MINE(o, t) && (PS(o, t) == SENT || PS(o, t) == SEEN) && PW(o, t) == w)
#endif
#endif
#if NT > 1
#define ROOM(o, w, t) (!COUNTS(o, w, 1 - t))
#else
#define ROOM(o, w, t) true
#endif
#ifdef M_RESTART_ENDED
#define STARTABLE(o, t) (PS(o, t) == UNPLACED || PS(o, t) == ENDED)
#else
#define STARTABLE(o, t) (PS(o, t) == UNPLACED)
#endif
#ifdef M_EVICT_UNANSWERED
#define ANSWERED(o, t) (PS(o, t) == SEEN || PS(o, t) == SENT || PS(o, t) == ENDED)
#else
#define ANSWERED(o, t) (PS(o, t) == SEEN || PS(o, t) == ENDED)
#endif
#ifdef M_RETURN_STARTED
#define RETURNABLE(o, t) (PS(o, t) != SEEN)
#else
#define RETURNABLE(o, t) (PS(o, t) == UNPLACED || PS(o, t) == RETURNED)
#endif
#ifdef M_LAPSE_WITHOUT_WAIT
#define WAITED(o, a) true
#else
#define WAITED(o, a) (wait_[o] == 1 && ((waitf[o] >> a) & 1))
#endif
#ifdef LIVE
#define USES(o, w) (OO(o, w) == o + 1 && OE(o, w) == ep[w] && ls[w] > 0)
#define OWNS_ANY(o) (USES(o, 0) || USES(o, 1))
#define STUCK(o, w, t) (MINE(o, t) && PS(o, t) == SENT && PW(o, t) == w && m_a[o] == 0 && RA(w, t) == 0 && OE(o, w) == PE(o, t))
#define NEEDS_EPOCH(o, w) (hd[w] == o + 1 && !gone[w] && (STUCK(o, w, 0) || (OE(o, w) != ep[w] && p_k[o] == NONE)))
#endif

/*
 * Acquire, by expiry, release or transfer. But with LIVE, the model lets a
 * worker grant its lease at any time: more than the platform allows.
 */
#define OWNER_WORKER(w) \
	:: d_step { FREE(o) && COUNTER(w) < EPOCHS(w) && FIRST(w) && GRANTABLE(w) -> grant(o, w); skip } \
	GIVE_UP(w)

#ifdef WITH_ABANDON
#define GIVE_UP(w) \
	:: d_step { UP(o) && gw[o] == 0 && READBACK(o, w) && WORKER_LOST(w) -> \
		printf("owner %d gives up worker %d\n", o, w); \
		rn[w] = rn[w] || (!TIMED(o) && HELD(o, w) && ls[w] > 0); gw[o] = w + 1; gt[o] = ABANDON + 1 }
#else
#define GIVE_UP(w)
#endif

#ifdef LIVE
#define WORKER_LOST(w) (ok && gone[w] && MINE(o, 0) && PS(o, 0) != UNPLACED && PW(o, 0) == w)
#else
#define WORKER_LOST(w) (o == 0 && w == 0)
#endif
#ifdef LIVE
#define GRANTABLE(w) ((ls[w] == 0 && !(ok && gone[w])) || (ok && NEEDS_EPOCH(o, w)))
#else
#ifdef CHAIN
/* Owners 0 and 1 hold worker 0 in turn; owner 2 recovers them and holds worker 1. */
#define GRANTABLE(w) (w == 0 -> o == ep[0] : o == 2 && TST(o, 0) == QUEUED && TAT(o, 0) == 2)
#else
#ifdef WITH_ABANDON
/* To keep this search small, owner 0 uses worker 0 only. */
#define GRANTABLE(w) (w == 0 || o == 1)
#else
#define GRANTABLE(w) true
#endif
#endif
#endif

/* The owner's decisions on task t. */
#define OWNER_TASK(t) \
	:: d_step { FREE(o) && TST(o, t) == QUEUED && CLAIMABLE -> append(o, CLAIM, t, 0) } \
	RETURN_TASK(t) \
	OWNER_TASK_WORKER(t, 0) \
	OWNER_TASK_WORKER(t, 1)

#ifdef WITH_RETURN
#define RETURN_TASK(t) \
	:: d_step { FREE(o) && MINE(o, t) && RETURNABLE(o, t) && TPL(o, t) == 0 && RETURNING(t) -> append(o, RETURN, t, 0); PS(o, t) = RETURNED }
#else
#define RETURN_TASK(t)
#endif

#ifdef LIVE
#define CLAIMABLE (!ok || OWNS_ANY(o))
#define RETURNING(t) (ok && (PS(o, t) == RETURNED || !OWNS_ANY(o)))
#else
#ifdef CHAIN
#define CLAIMABLE (o == 2 * (TAT(o, 0) - 1))
#else
#define CLAIMABLE true
#endif
#define RETURNING(t) true
#endif

#define OWNER_TASK_WORKER(t, w) \
	/* Start. */ \
	:: d_step { UP(o) && m_a[o] == 0 && MINE(o, t) && STARTABLE(o, t) && TPL(o, t) == 0 && MAYSTART(o, w) && gw[o] != w + 1 && ROOM(o, w, t) && FRESH(o) && STEADY_START(w) -> \
		printf("owner %d sends Start of task %d attempt %d to worker %d at epoch %d\n", o, t, TAT(o, t), w, STARTEPOCH(o, w)); \
		m_a[o] = TAT(o, t); m_t[o] = t; m_w[o] = w; m_e[o] = STARTEPOCH(o, w); \
		PS(o, t) = SENT; PW(o, t) = w; PE(o, t) = m_e[o] } \
	/* Report: the attempt is there, so its Start is no longer in flight. */ \
	:: d_step { UP(o) && MINE(o, t) && PS(o, t) == SENT && PW(o, t) == w && RA(w, t) == TAT(o, t) -> PS(o, t) = SEEN } \
	/* Report: an attempt that was there is gone. */ \
	:: d_step { FREE(o) && MINE(o, t) && ANSWERED(o, t) && PW(o, t) == w && RA(w, t) != TAT(o, t) -> \
		append(o, EVICTED, t, TAT(o, t)); PS(o, t) = ENDED } \
	/* A newer Own of the worker didn't list the attempt. */ \
	:: d_step { FREE(o) && MINE(o, t) && (PS(o, t) == SENT || PS(o, t) == SEEN) && PW(o, t) == w && OE(o, w) > PE(o, t) -> \
		append(o, EVICTED, t, TAT(o, t)); PS(o, t) = ENDED } \
	GIVEN_UP(t, w) \
	/* Report: a result, sent on unchecked; the fold decides. */ \
	:: d_step { FREE(o) && RESULT(w, t) && OWNS_OR_PLACED(o, t, w) && STEADY_DONE(t, w) -> append(o, DONE, t, RA(w, t)) } \
	/* Acknowledge a result that is folded or stale. */ \
	:: d_step { UP(o) && RESULT(w, t) && READBACK(o, w) && OE(o, w) == ep[w] && (TST(o, t) == COMPLETE || TAT(o, t) != RA(w, t)) -> printf("owner %d acknowledges task %d on worker %d\n", o, t, w); RA(w, t) = 0 }

#ifdef M_ABANDON_WITHOUT_WAIT
#define GAVE_UP(w) (gw[o] == w + 1)
#else
#define GAVE_UP(w) (gw[o] == w + 1 && gt[o] == 1)
#endif
#ifdef WITH_ABANDON
/* The owner waited out all that it may have sent to the worker. */
#define GIVEN_UP(t, w) \
	:: d_step { FREE(o) && MINE(o, t) && PS(o, t) != UNPLACED && PS(o, t) != RETURNED && PW(o, t) == w && GAVE_UP(w) -> \
		append(o, EVICTED, t, TAT(o, t)); PS(o, t) = ENDED }
#else
#define GIVEN_UP(t, w)
#endif
#define OWNS_OR_PLACED(o, t, w) ((READBACK(o, w) && OE(o, w) == ep[w]) || (MINE(o, t) && PW(o, t) == w && PS(o, t) != UNPLACED))
#ifdef LIVE
#define STEADY_START(w) (!ok || USES(o, w))
#define STEADY_DONE(t, w) (!ok || (MINE(o, t) && RA(w, t) == TAT(o, t)))
#else
#define STEADY_START(w) true
#define STEADY_DONE(t, w) true
#endif

/* The owner's recovery of owner a. */
#define OWNER_PEER(a) \
	:: d_step { FREE(o) && o != a && !FENCED(o, a) && SUSPECTS(a) && FENCEABLE(a) -> append(o, FENCE, a, 0) } \
	:: d_step { UP(o) && o != a && FENCED(o, a) && SET(o, a) != 0 && !((waitf[o] >> a) & 1) && RECOVERS -> wait_[o] = WAIT + 1; waitf[o] = fen[o] } \
	OWNER_LAPSE(a, 0) \
	OWNER_LAPSE(a, 1)

#define OWNER_LAPSE(a, w) \
	:: d_step { FREE(o) && o != a && FENCED(o, a) && ((SET(o, a) >> w) & 1) && WAITED(o, a) && RECOVERS -> append(o, LAPSE, w, OE(o, w)) }

#ifdef CHAIN
#define RECOVERS (o == 2)
#else
#define RECOVERS true
#endif
#ifdef LIVE
#define SUSPECTS(a) (!ok || dead[a])
#else
#ifdef CHAIN
#define SUSPECTS(a) (o == 2)
#else
#define SUSPECTS(a) true
#endif
#endif

proctype owner(byte o)
{
	do
	:: d_step { UP(o) && FENCED(LOG, o) -> halt(o); skip }
	:: d_step { UP(o) && !FENCED(LOG, o) && READS -> read_tail(o); skip }
#ifdef M_READ_DATED_AT_ANSWER
	:: d_step { UP(o) && age[o] > 0 -> age[o] = 0 }
#endif
	OWNER_WORKER(0)
	OWNER_WORKER(1)
	OWNER_TASK(0)
#if NT > 1
	OWNER_TASK(1)
#endif
	OWNER_PEER(0)
	OWNER_PEER(1)
#ifdef LIVE
	:: d_step { !ok && o == 0 && !dead[o] -> dead[o] = true }
	:: d_step { !ok && o == 1 && !gone[1] -> gone[1] = true; ls[1] = 0; rn[1] = false }
#endif
	od
}

/* ---- workers and the way to them ---- */

#ifdef M_NO_EPOCH_CHECK
#define INFORCE(o) (ls[m_w[o]] > 0)
#else
#ifdef M_EXPIRED_LEASE_IN_FORCE
#define INFORCE(o) (ep[m_w[o]] == m_e[o])
#else
#define INFORCE(o) (ls[m_w[o]] > 0 && ep[m_w[o]] == m_e[o])
#endif
#endif

inline clear_start(o)
{
	m_a[o] = 0;
	m_t[o] = 0;
	m_w[o] = 0;
	m_e[o] = 0
}

inline answer(o, state)
{
	if
	:: PS(o, m_t[o]) == SENT && PW(o, m_t[o]) == m_w[o] ->
		PS(o, m_t[o]) = state;
		if
		:: PS(o, m_t[o]) == UNPLACED -> forget(o, m_t[o])
		:: else
		fi
	:: else
	fi
}

/* The way of owner o's Start: it arrives at any later time, or never; its answer may be lost. */
proctype way(byte o)
{
	do
	:: d_step { m_a[o] != 0 && INFORCE(o) -> printf("worker %d starts task %d attempt %d\n", m_w[o], m_t[o], m_a[o]); RA(m_w[o], m_t[o]) = m_a[o]; RL(m_w[o], m_t[o]) = TASKTTL + 1; answer(o, SEEN); clear_start(o) }
	:: d_step { m_a[o] != 0 && INFORCE(o) && FAULTS -> printf("worker %d starts task %d attempt %d\n", m_w[o], m_t[o], m_a[o]); RA(m_w[o], m_t[o]) = m_a[o]; RL(m_w[o], m_t[o]) = TASKTTL + 1; clear_start(o) }
	:: d_step { m_a[o] != 0 && (FAULTS || !INFORCE(o)) -> answer(o, UNPLACED); clear_start(o) }
	:: d_step { m_a[o] != 0 && FAULTS -> clear_start(o) }
	od
}

#define WORKER_TASK(t) \
	:: d_step { RUNS(w, t) -> printf("task %d ends on worker %d with a result\n", t, w); RL(w, t) = 0 } \
	:: d_step { RUNS(w, t) && FAULTS -> printf("task %d stops on worker %d\n", t, w); RA(w, t) = 0; RL(w, t) = 0 }

#ifdef M_RENEW_PAST_BOUND
#define RENEWS_LEASE(o, w) (HELD(o, w) || BARE(o, w))
#else
#define RENEWS_LEASE(o, w) ((HELD(o, w) && (!TIMED(o) || FRESH(o))) || BARE(o, w))
#endif
#define RENEWS_TASKS(o, w) (HELD(o, w) && (!TIMED(o) || FRESH(o)))

#ifdef M_MANY_RENEWALS
#define LANDED skip
#else
#define LANDED rn[w] = false
#endif

#ifdef RESTARTS
/* restart: worker w starts again under its ID, and remembers nothing. */
inline restart(w)
{
	printf("worker %d restarts\n", w);
	inc[w]++;
	ep[w] = 0;
	hd[w] = 0;
	ls[w] = 0;
	rn[w] = false;
	for (i : 0 .. NT - 1) {
		RA(w, i) = 0;
		RL(w, i) = 0
	}
}
#endif

proctype worker(byte w)
{
	do
	/* A renewal that was in flight when its sender stopped sending. */
	:: d_step { rn[w] && ls[w] > 0 && !RENEWS_TASKS(hd[w] - 1, w) -> printf("worker %d takes a late renewal at epoch %d\n", w, ep[w]); renew(w); LANDED }
#ifdef LIVE
	:: d_step { !ok && ls[w] > 0 -> ls[w] = 0; rn[w] = false }
#endif
#ifdef RESTARTS
	:: d_step { w == 0 && inc[w] < RESTARTS -> restart(w); skip }
#endif
	/* The task finishes; it is stopped on request or by itself. */
	WORKER_TASK(0)
#if NT > 1
	WORKER_TASK(1)
#endif
	od
}

/*
 * An owner that may renew does so just before each tick; a lease that ends
 * early is covered by the tasks that stop by themselves and by the refusals.
 */
inline tick()
{
	printf("tick\n");
	for (i : 0 .. NO - 1) {
		if
		:: TIMED(i) && !halted[i] && age[i] <= ISOLATION -> age[i]++
		:: else
		fi;
		if
		:: wait_[i] > 1 -> wait_[i]--
		:: else
		fi;
		if
		:: gt[i] > 1 -> gt[i]--
		:: else
		fi
	}
	for (i : 0 .. NW - 1) {
		if
		:: hd[i] == 0
		:: else ->
			a_ = hd[i] - 1;
			if
			:: RENEWS_LEASE(a_, i) && ls[i] > 0 -> ls[i] = TTL + 1
			:: else ->
				if
				:: ls[i] > 0 -> ls[i]--
				:: else
				fi;
				if
				:: ls[i] == 0 -> rn[i] = false
				:: else
				fi
			fi;
			for (j : 0 .. NT - 1) {
				if
				:: RUNS(i, j) && !(RENEWS_TASKS(a_, i) && ls[i] > 0) ->
					RL(i, j)--;
					if
					:: RL(i, j) == 0 -> RA(i, j) = 0
					:: else
					fi
				:: else
				fi
			}
		fi
	}
}

proctype clock()
{
	do
#ifdef LIVE
	:: d_step { !ok -> tick(); skip }
	:: atomic { timeout && ok -> d_step { tick(); skip } }
	:: d_step { !ok -> ok = true }
#else
	:: d_step { tick(); skip }
#endif
	od
}

/* ---- properties ---- */

#define ONE_RUN(t) (!(RUNS(0, t) && RUNS(1, t)))
#define ONE_COMPLETION(t) (completions[t] <= 1)
#define CURRENT(w, t) (!RUNS(w, t) || (TST(LOG, t) == ESCROW && TAT(LOG, t) == RA(w, t)))
#define CAPACITY(w) (!(RUNS(w, 0) && RUNS(w, 1)))
#define HOMED(a, t) (!(FENCED(LOG, a) && SET(LOG, a) == 0 && TST(LOG, t) == ESCROW && TOW(LOG, t) == a + 1))

#define CHECK(name, holds) :: d_step { !(holds) -> printf(name); assert(false) }

#define CHECK_TASK(t) \
	CHECK("property one run\n", ONE_RUN(t)) \
	CHECK_REST(t)

#ifdef ONE_RUN_ONLY
#define CHECK_REST(t)
#else
#define CHECK_REST(t) \
	CHECK("property one completion\n", ONE_COMPLETION(t)) \
	CHECK("property current attempt\n", CURRENT(0, t) && CURRENT(1, t)) \
	CHECK("property escrow settled\n", HOMED(0, t) && HOMED(1, t))
#endif

proctype monitor()
{
	do
	CHECK_TASK(0)
#if NT > 1
	CHECK_TASK(1)
	CHECK("property capacity\n", CAPACITY(0) && CAPACITY(1))
#endif
	od
}

#ifdef LIVE
ltl ends { [] (ok -> <> (TST(LOG, 0) == COMPLETE)) }
#endif

init
{
	atomic {
		for (i : 0 .. NO) {
			for (j : 0 .. NT - 1) {
				TAT(i, j) = 1
			}
		}
		run stream();
		run clock();
		run owner(0);
		run owner(1);
		run way(0);
		run way(1);
#if NO > 2
		run owner(2);
		run way(2);
#endif
		run worker(0);
		run worker(1);
		run monitor()
	}
}
