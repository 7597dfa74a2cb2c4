// Usage reports of the fleet duty to the platform's cloud. Daemons take the duty from
// each other at any time and pause between any two steps. Responses of the store may be
// lost, whether or not the write took effect. Calls to the cloud arrive at any later time
// in any order. Each daemon would count the usage window differently.
//
// Checked: the cloud never accepts two reports of a window with different counts, and no
// two daemons use the same fencing token.
//
// variants: SEND_UNRECORDED COUNT_AGAIN BLIND_WRITE NO_READ_AFTER_LOSS

#define DAEMONS 3

byte version = 0;   // version of the lease row
byte token = 0;     // fencing token in the row
byte recorded = 0;  // counts of the window in the row: the id of the daemon that counted; 0 for none
byte seen = 0;      // highest token that the cloud has received
byte reported = 0;  // counts that the cloud has accepted; 0 for none
byte holder[8];     // daemon that used each token at the cloud
bool twice = false; // the cloud accepted two reports with different counts
bool shared = false // two daemons used one token

// Call is a call to the cloud in flight, with its fencing token.
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
	// Takes the duty: reads the row and writes it if it is unchanged since.
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
	// Finalizes the counts of the window, unless an earlier holder has recorded them.
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
		:: answered = false // the response is lost; the write may or may not have taken effect
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
		// Reads the row. If it has this daemon's token and counts, the daemon sends those;
		// without counts it writes its own again; with another token it gives up.
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
	run Call(id, mine, counts); // an identical report may be sent again
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
