// Manifest: concurrent applies to a table that loses responses, and daemons that get
// new generations from the table and from each other.
//
// Checked: each apply takes effect at most once and its operator gets the right result;
// a daemon never goes back to an older generation.
//
// variants: BLIND_APPLY RETRY_NEW_TOKEN GO_BACK

#define MAXGEN 3

byte generation = 0;     // of the manifest in force, the version of its row
byte owner[4];           // token of the commit that made each generation
byte told[3];            // generation in the response to each operator; 0 if the apply was refused
bool answered[3];
byte inForce[2];         // generation in force at each daemon
byte finished = 0;       // number of processes that have ended

proctype Operator(byte id) {
	byte base, token, lost;
	base = generation;
	token = id;
	lost = 0;
again:
	atomic {
		if
#ifdef BLIND_APPLY
		:: true ->
#else
		:: generation == base && generation < MAXGEN ->
#endif
			if
			:: generation < MAXGEN -> generation++; owner[generation] = token
			:: else -> skip
			fi;
			if
			:: lost == 0 -> lost = 1; goto unknown   // the response is lost after the commit took effect
			:: told[id] = base + 1; answered[id] = true; goto done
			fi
		:: else -> goto conflict
		fi
	}
	if
	:: lost == 0 -> lost = 1; goto unknown            // the request is lost before the commit takes effect
	:: skip
	fi;
unknown:
#ifdef RETRY_NEW_TOKEN
	base = generation;                                  // mistakes its own commit for another operator's
	token = id;
	goto again;
#else
	atomic {                                            // the token in the row shows whether the commit took effect
		if
		:: base < MAXGEN && owner[base + 1] == token -> told[id] = base + 1; answered[id] = true; goto done
		:: else -> skip
		fi
	}
	goto again;
#endif
conflict:
	atomic {
		if
		:: base < MAXGEN && owner[base + 1] == token -> told[id] = base + 1
		:: else -> told[id] = 0
		fi;
		answered[id] = true
	}
done:
	finished++
}

proctype Learner(byte id) {
	byte heard, steps;
	do
	:: steps < 3 ->
		steps++;
		if
		:: heard = generation            // poll of the table
		:: heard = inForce[1 - id]       // heartbeat of a peer
		fi;
		// Meanwhile the daemon fetches the manifest's body.
		atomic {
			if
#ifdef GO_BACK
			:: heard != 0 ->
#else
			:: heard > inForce[id] ->
#endif
				assert(heard >= inForce[id]);
				inForce[id] = heard
			:: else -> skip
			fi
		}
	:: steps >= 3 -> break
	od;
	finished++
}

// Check runs once all others have ended.
proctype Check() {
	(finished == 4) ->
	// Each operator got the generation of its own commit, and no two got the same.
	assert(!(answered[1] && answered[2] && told[1] != 0 && told[1] == told[2]));
	assert(!answered[1] || told[1] == 0 || owner[told[1]] == 1);
	assert(!answered[2] || told[2] == 0 || owner[told[2]] == 2);
	// A refused apply had no effect.
	assert(!(answered[1] && told[1] == 0 && (owner[1] == 1 || owner[2] == 1 || owner[3] == 1)));
	assert(!(answered[2] && told[2] == 0 && (owner[1] == 2 || owner[2] == 2 || owner[3] == 2)));
	// Each apply took effect at most once.
	assert(!(owner[1] != 0 && (owner[1] == owner[2] || owner[1] == owner[3])));
	assert(!(owner[2] != 0 && owner[2] == owner[3]))
}

init {
	atomic {
		run Operator(1);
		run Operator(2);
		run Learner(0);
		run Learner(1);
		run Check()
	}
}
