package views

// EraSpan is the number of versions that the store may give out between two restores. In
// decimal notation a version shows its era and number.
const EraSpan = 1_000_000_000_000

// MakeVersion returns the version for a number that the store gave out in an era. After a
// restore from a copy the store gives out numbers again that it had given out before, with
// other content; versions of a later era are higher than all earlier ones.
func MakeVersion(era, number int64) int64 { return era*EraSpan + number }

// SplitVersion is the reverse of MakeVersion.
func SplitVersion(version int64) (era, number int64) { return version / EraSpan, version % EraSpan }

// Era returns the store's era at its last response.
func (v *View) Era() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.era
}

// AssumedEra returns the era to assume for versions of a daemon whose build does not tell
// it: that of the known rows, or 0, which is lower than any, once the store was restored.
func (v *View) AssumedEra() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.eraRose {
		return 0
	}
	era, _ := SplitVersion(max(v.newestVersion, v.readTo))
	return era
}

// restoredSince reports whether a version is of a later era than all that the view has
// applied or read. The caller holds mu.
func (v *View) restoredSince(version int64) bool {
	known, _ := SplitVersion(max(v.newestVersion, v.readTo))
	era, _ := SplitVersion(version)
	return known > 0 && era > known
}
