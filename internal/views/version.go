package views

// eraSpan is the number of versions that the store may give out between two restores. In
// decimal notation a version shows its era and number.
const eraSpan = 1_000_000_000_000

// MakeVersion returns the version for a number that the store gave out in an era. After a
// restore from a copy the store gives out numbers again that it had given out before, with
// other content; versions of a later era are higher than all earlier ones.
func MakeVersion(era, number int64) int64 { return era*eraSpan + number }

// SplitVersion is the reverse of MakeVersion.
func SplitVersion(version int64) (era, number int64) { return version / eraSpan, version % eraSpan }
