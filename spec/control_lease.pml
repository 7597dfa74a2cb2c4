// Fleet duty: a lease whose version is the fencing token. Holders may pause for any time
// between any two steps. One engine checks the token, the other ignores it.
//
// Checked: the engine that checks never accepts an order with an older token than it has
// seen; in the end both engines have the committed target, that of the newest holder that
// committed one.
//
// variants: NO_COMMIT_WITH_LEASE NO_REPEAT NO_FENCE_CHECK

#define HOLDERS 3

byte lease = 0;             // version of the lease row
byte wanted = 0;            // committed target of the engines: the id of the holder that decided it
byte decided[HOLDERS + 1];  // fencing token with which each holder decided; 0 for never
byte fenceSeen = 0;         // highest token received by the engine that checks
byte stateChecks = 0;
byte stateIgnores = 0;
bool stale = false;         // the engine that checks accepted an order with an older token
byte finished = 0;          // number of processes that have ended

// A holder takes the lease, decides on a target of its own and orders it. Pauses are
// modelled by interleaving: another holder may take the lease between any two steps.
proctype Holder(byte id) {
	byte fence, order;
	bool mine;
	// Takes the lease, which has expired.
	atomic { lease++; fence = lease; mine = true }
	order = id;
	// Decides: commits the target together with the lease.
	atomic {
#ifndef NO_COMMIT_WITH_LEASE
		if
		:: lease == fence -> lease++; fence = lease; wanted = order; decided[id] = fence
		:: else -> mine = false
		fi
#else
		wanted = order; decided[id] = fence
#endif
	}
	if
	:: !mine -> goto over
	:: else -> skip
	fi;
	// The order may arrive at any later time.
	atomic {
#ifndef NO_FENCE_CHECK
		if
		:: fence >= fenceSeen -> fenceSeen = fence; stateChecks = order
		:: else -> skip
		fi
#else
		if
		:: fence < fenceSeen -> stale = true
		:: else -> fenceSeen = fence
		fi;
		stateChecks = order
#endif
	}
	atomic { stateIgnores = order }
over:
	finished++
}

// Repeat is the last holder, which orders the committed target again.
proctype Repeat() {
	(finished == HOLDERS) ->
#ifndef NO_REPEAT
	atomic { lease++; stateIgnores = wanted; fenceSeen = lease; stateChecks = wanted }
#endif
	assert(!stale);
	assert(stateIgnores == wanted && stateChecks == wanted);
	// The committed target is that of the newest lease with which a target was decided.
	assert(wanted == 0 || (decided[wanted] >= decided[1] && decided[wanted] >= decided[2] && decided[wanted] >= decided[3]))
}

init {
	atomic {
		run Holder(1);
		run Holder(2);
		run Holder(3);
		run Repeat()
	}
}
