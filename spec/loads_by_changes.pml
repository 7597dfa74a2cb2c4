// Upstream loads that one daemon (the teller) sends to another (the listener) as changes
// since a version, as in internal/routing/place (loadTable, LoadChanges, MergeLoads).
// Messages are lost, late or duplicated; either side may restart at any time. Checked: a
// listener that has the newest version of the running teller has its newest values.
//
// Two values are enough: a change to one must not hide a change to the other.
//
// variants: NO_BASE NO_BORN KEEPS_REST

#define STEPS 3
#define SLOTS 2  // messages that may be in flight

byte born = 1;       // incarnation of the teller
byte version = 0;
byte val[2];
byte at[2];          // version of the last change of each value; 0 for none

byte heldBorn = 0;   // teller's incarnation in the listener's state; 0 if it has none
byte heldVersion = 0;
byte got[2];

byte mBorn[SLOTS];   // incarnation of the sender; 0 for an empty slot
byte mBase[SLOTS];
byte mVersion[SLOTS];
byte mVal[4];        // by slot and value
bool mHas[4];

inline change(i) {
	atomic {
		version < STEPS ->
		version++; at[i] = version;
		val[i] = 1 - val[i]
	}
}

// tell sends the changes since the version that the listener has.
inline tell(s) {
	atomic {
		mBorn[s] == 0 && version > 0 ->
		if
		:: heldBorn == born -> mBase[s] = heldVersion
		:: else -> mBase[s] = 0
		fi;
		mBorn[s] = born; mVersion[s] = version;
		mHas[2*s] = (at[0] > mBase[s]); mVal[2*s] = val[0];
		mHas[2*s+1] = (at[1] > mBase[s]); mVal[2*s+1] = val[1]
	}
}

inline take(s) {
	if
	:: mHas[2*s] -> got[0] = mVal[2*s] :: else fi;
	if
	:: mHas[2*s+1] -> got[1] = mVal[2*s+1] :: else fi;
	heldBorn = mBorn[s]; heldVersion = mVersion[s]
}

// hear receives a message, which may stay in flight and arrive again.
inline hear(s) {
	atomic {
		mBorn[s] != 0 ->
		if
#ifndef NO_BORN
		:: heldBorn > mBorn[s] -> skip // sent by an earlier incarnation
		:: heldBorn != mBorn[s] && heldBorn <= mBorn[s] ->
			if
			:: mBase[s] == 0 ->
#ifndef KEEPS_REST
				got[0] = 0; got[1] = 0;
#endif
				take(s)
			:: else -> skip
			fi
		:: heldBorn == mBorn[s] ->
#else
		:: true ->
#endif
			if
#ifndef NO_BASE
			:: mBase[s] > heldVersion -> skip
#endif
			:: mVersion[s] <= heldVersion -> skip
			:: else -> take(s)
			fi
		fi;
		if :: mBorn[s] = 0 :: skip fi
	}
}

inline restartTeller() {
	atomic {
		born < 2 ->
		born++; version = 0;
		val[0] = 0; val[1] = 0; at[0] = 0; at[1] = 0
	}
}

inline restartListener() {
	atomic { heldBorn = 0; heldVersion = 0; got[0] = 0; got[1] = 0 }
}

active proctype System() {
	do
	:: change(0)
	:: change(1)
	:: tell(0)
	:: tell(1)
	:: hear(0)
	:: hear(1)
	:: mBorn[0] != 0 -> mBorn[0] = 0 // the message is lost
	:: restartTeller()
	:: restartListener()
	:: atomic {
		heldBorn == born && heldVersion == version && version > 0 ->
		assert(got[0] == val[0] && got[1] == val[1])
	}
	:: break
	od
}
