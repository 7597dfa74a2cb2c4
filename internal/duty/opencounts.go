package duty

import (
	"encoding/base64"

	"github.com/lagoonmux/lagoonmux/internal/usage"
)

// mergeOpenCounts merges the open counts of a row, except for this daemon's own, into
// the counts received from other daemons.
func (d *Duty) mergeOpenCounts(data []byte) {
	if len(data) == 0 {
		return
	}
	list, err := usage.Unpack(data)
	if err != nil {
		d.Log.Error("cannot decode the usage counts of open windows in the lease row", "error", err)
		return
	}
	for _, t := range list {
		if t.Name != d.Name || t.Incarnation != d.Incarnation {
			d.Usage.Merge(t.Name, t.Incarnation, t.Windows)
		}
	}
}

// openCounts returns the encoded counts of open windows, as far as they fit. They
// are stored because all daemons may end before the windows are final.
func (d *Duty) openCounts() []byte {
	if !d.ReportUsage {
		return nil
	}
	newest := d.Usage.WindowNumber(d.Clock.Now())
	for from := d.row.Finalized; from < newest; from++ {
		list := d.Usage.After(from)
		if len(list) > 0 && list[0].Name == "" {
			list[0].Name, list[0].Incarnation = d.Name, d.Incarnation
		}
		if value, err := usage.Pack(list); err == nil && base64.StdEncoding.EncodedLen(len(value)) <= maxOpenCountsBytes {
			return value
		}
	}
	return nil
}
