// Copies of a table of the platform's store at the daemons, as in internal/views. The
// table has the configuration and one upstream's entry. Daemons read it as changes or,
// when the store has dropped its history, as a snapshot. Responses of the store are late
// or lost; daemons merge each other's copies; removals found right after an outage are
// held back for a while; daemons restart.
//
// variants: NO_FLOOR OFFER_ANY OFFER_UNREAD KEEP_MISSING

#define DAEMONS 2
#define WRITES 3
#define LIVES 1    // restarts of each daemon

byte newest = 0;   // version of the store
byte config = 0;   // version of the row with the configuration
byte entry = 0;    // version of the last change of the entry
bool gone = true;  // the entry was removed

// State of each daemon.
byte after[DAEMONS];    // version up to which changes were read
byte changed[DAEMONS];  // version of the newest change in force
byte conf[DAEMONS];     // version of the configuration in force
byte row[DAEMONS];      // version of the entry in force; 0 for none
byte held[DAEMONS];     // version of a removal that is held back; 0 for none
byte dropped[DAEMONS];  // version of the newest removal in force since the last restart
byte lives[DAEMONS];

inline raise(i, v) { if :: v > changed[i] -> changed[i] = v :: else fi }

// setConf puts a configuration into force, never an older one.
inline setConf(i, v) {
	if
	:: v > conf[i] -> conf[i] = v; raise(i, v)
	:: else
	fi
}

// setRow puts an entry into force.
inline setRow(i, v) {
	if
	:: v > row[i] ->
		assert(v > dropped[i]); // a removed entry must not come back
		row[i] = v; held[i] = 0; raise(i, v)
	:: else
	fi
}

inline dropRow(i, v, hold) {
	if
	:: hold -> if :: held[i] == 0 -> held[i] = v :: else fi
	:: else -> row[i] = 0; held[i] = 0; dropped[i] = v; raise(i, v)
	fi
}

// Reader is the loop in which daemon i reads the store.
proctype Reader(byte i) {
	byte atNew, atConf, atEntry, floor, from, life;
	bool atGone, whole, hold;
	do
	:: atomic { // the store makes a response
		atNew = newest; atConf = config; atEntry = entry; atGone = gone;
		from = after[i]; life = lives[i];
		if :: whole = true :: from > 0 -> whole = false fi;
		if :: hold = true :: hold = false fi
	   };
	   atomic { // the daemon merges the response; a lost one changes nothing, and needs no step here
		if
		:: life == lives[i] ->
			floor = changed[i];
#ifdef NO_FLOOR
			floor = 0;
#endif
			if
			:: atConf > 0 && (whole || atConf > from) && (conf[i] > 0 || atConf > floor) -> setConf(i, atConf)
			:: else
			fi;
			if
			:: !atGone && (whole || atEntry > from) && (row[i] > 0 || atEntry > floor) -> setRow(i, atEntry)
			:: atGone && !whole && atEntry > from && row[i] > 0 && atEntry > row[i] -> dropRow(i, atEntry, hold)
			:: atGone && !whole && atEntry > from && row[i] == 0 && atEntry > floor -> raise(i, atEntry)
#ifndef KEEP_MISSING
			:: atGone && whole && row[i] > 0 && row[i] <= atNew -> dropRow(i, atNew, hold)
#endif
			:: else
			fi;
			if :: atNew > after[i] -> after[i] = atNew :: else fi;
			// A daemon that has read all changes, and holds no removal back, has the store's state.
			assert(atNew < newest || held[i] > 0 || (conf[i] == config && ((gone && row[i] == 0) || (!gone && row[i] == entry))))
		:: else
		fi;
		atNew = 0; atConf = 0; atEntry = 0; floor = 0; from = 0; life = 0;
		atGone = false; whole = false; hold = false
	   }
	:: atomic { held[i] > 0 -> dropRow(i, held[i], false) } // the removal was held back long enough
	:: atomic { lives[i] < LIVES -> // the daemon restarts without state
		lives[i]++; after[i] = 0; changed[i] = 0; conf[i] = 0; row[i] = 0; held[i] = 0; dropped[i] = 0 }
	:: atomic { newest == WRITES -> break }
	od
}

// Peer merges the other daemon's copy into that of daemon i. Sending and merging are one
// step: a delayed copy is the same as the current copy of a slower daemon.
proctype Peer(byte i) {
	byte o, floor;
	o = 1 - i;
	do
	:: atomic {
		floor = changed[i];
#ifndef OFFER_UNREAD
		if :: after[i] > floor -> floor = after[i] :: else fi;
#endif
		if
#ifdef OFFER_ANY
		:: true ->
#else
		:: changed[o] > floor ->
#endif
			if :: conf[o] > 0 && (conf[i] > 0 || conf[o] > floor) -> setConf(i, conf[o]) :: else fi;
			if
			:: row[o] > 0 && (row[i] > 0 || row[o] > floor) -> setRow(i, row[o])
			:: row[o] == 0 && row[i] > 0 && row[i] <= changed[o] -> dropRow(i, changed[o], false)
			:: else
			fi;
			raise(i, changed[o])
#ifndef OFFER_ANY
		:: else
#endif
		fi;
		floor = 0
	   }
	:: atomic { newest == WRITES -> break }
	od
}

// The operator writes the configuration; the upstream writes and removes its entry.
active proctype Writers() {
	do
	:: atomic { newest < WRITES ->
		newest++;
		if
		:: config = newest
		:: entry = newest; gone = false
		:: !gone -> entry = newest; gone = true
		fi }
	:: newest == WRITES -> break
	od
}

init { atomic { run Reader(0); run Reader(1); run Peer(0); run Peer(1) } }
