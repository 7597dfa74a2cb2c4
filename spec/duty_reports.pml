// Usage reports of the fleet duty on the users' platform: daemons that take the
// duty from each other at any time, pause between any two steps, lose answers of
// the store before or after their effect, and whose calls arrive at any later time
// in any order. Each daemon would count the window differently.
//
// variants: SEND_UNRECORDED COUNT_AGAIN BLIND_WRITE NO_READ_AFTER_LOSS

#define DAEMONS 3

byte version = 0;   // of the lease row
byte token = 0;     // in the row
byte recorded = 0;  // counts of the window in the row, named by who counted; 0 is none
byte seen = 0;      // highest token that the cloud has seen
byte reported = 0;  // counts that the cloud has taken; 0 is none
byte holder[8];     // daemon that used each token at the cloud
bool twice = false; // two reports with different counts were taken
bool shared = false // two daemons used one token

// Call is one fenced call in flight.
proctype Call(byte who, t, counts) {
	atomic {
		if
		:: t < seen -> skip
		:: else ->
			seen = t;
			shared = shared || (holder[t] != 0 && holder[t] != who);
			holder[t] = who;
			if
			:: reported == 0 -> reported = counts
			:: reported != 0 && reported != counts -> twice = true
			:: else -> skip
			fi
		fi
	}
}

proctype Daemon(byte id) {
	byte mine, at, counts;
	bool answered;
	// Takes the duty: reads the row, then writes it if it is unchanged.
	atomic { at = version; mine = token + 1; counts = recorded }
	atomic {
#ifndef BLIND_WRITE
		if
		:: version == at -> version++; token = mine; at = version
		:: else -> goto over
		fi
#else
		version++; token = mine; at = version
#endif
	}
	// Settles the window, unless a holder before has.
#ifdef COUNT_AGAIN
	counts = 0;
#endif
	if
	:: counts != 0 -> goto send
	:: else -> skip
	fi;
	counts = id;
#ifndef SEND_UNRECORDED
	atomic {
		if
		:: answered = true
		:: answered = false // the answer is lost; the effect may have come or not
		fi;
		if
		:: version == at && answered -> version++; recorded = counts; at = version
		:: version == at && !answered -> if :: version++; recorded = counts :: skip fi
		:: else -> goto over
		fi
	}
#ifndef NO_READ_AFTER_LOSS
	if
	:: !answered ->
		// Reads the row; goes on only if it still names this daemon's token and holds
		// the counts, and writes once more otherwise.
		atomic {
			if
			:: token == mine && recorded != 0 -> counts = recorded; at = version
			:: token == mine && recorded == 0 -> version++; recorded = counts; at = version
			:: else -> goto over
			fi
		}
	:: else -> skip
	fi;
#endif
#endif
send:
	run Call(id, mine, counts);
	run Call(id, mine, counts); // an exact repeat is allowed
over:
	assert(!twice);
	assert(!shared)
}

init {
	atomic {
		run Daemon(1);
		run Daemon(2);
		run Daemon(3)
	}
	(_nr_pr == 1) -> assert(!twice && !shared)
}
