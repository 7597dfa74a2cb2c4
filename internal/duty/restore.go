package duty

import "github.com/lagoonmux/lagoonmux/internal/views"

// tokensPerEra is the number of fencing tokens that can be given out between two restores of
// the store.
const tokensPerEra = 1_000_000

// nextToken returns the token of the next holder. After a restore of the store the row may
// have an older token than the last holder; tokens of a later era are higher than all
// earlier ones.
func (d *Duty) nextToken() int64 {
	era, _ := views.SplitVersion(d.version)
	return max(d.row.Token, max(era-1, 0)*tokensPerEra) + 1
}

// nextFinalized returns the newest window whose counts the next holder must not determine
// anew. After a restore of the store the row may name an earlier one than was reported. If
// no daemon knows which, all windows that have ended are left out: a missing report does
// less harm than a second one with other counts.
func (d *Duty) nextFinalized() int64 {
	ended := d.Usage.WindowNumber(d.Clock.Now()) - 1
	era, _ := views.SplitVersion(d.version)
	known := d.finalizedElsewhere()
	switch {
	case d.row.Finalized == 0 && known == 0:
		return ended
	case d.row.Era > 0 && era > d.row.Era && known == 0:
		return max(d.row.Finalized, ended)
	}
	return max(d.row.Finalized, known)
}

func (d *Duty) finalizedElsewhere() int64 {
	known := d.finalized.Load()
	if d.FinalizedElsewhere != nil {
		known = max(known, d.FinalizedElsewhere())
	}
	return known
}

// Finalized returns the newest window that this daemon has made final as the holder, 0 for
// none. It is safe for concurrent use.
func (d *Duty) Finalized() int64 { return d.finalized.Load() }
