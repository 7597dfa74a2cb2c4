package usage

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// maxUnpackedBytes bounds the decompressed size of packed tallies. It is enough for
// 10,000 daemons.
const maxUnpackedBytes = 16 << 20

// packed is the encoding of a list of tallies. Each customer name occurs once.
type packed struct {
	Customers []string      `json:"c"`
	Tallies   []packedTally `json:"t"`
}

type packedTally struct {
	Name        string  `json:"n"`
	Incarnation int64   `json:"b"`
	Windows     []int64 `json:"w"` // for each window: its number, the number of pairs, and pairs of customer index and count
}

// Pack encodes and compresses tallies, so that those of hundreds of daemons fit in a
// row of the store.
func Pack(list []Tally) ([]byte, error) {
	p := packed{}
	index := make(map[string]int64)
	for _, t := range list {
		out := packedTally{Name: t.Name, Incarnation: t.Incarnation}
		for _, w := range t.Windows {
			out.Windows = append(out.Windows, w.Number, int64(len(w.Counts)))
			for _, customer := range sortedKeys(w.Counts) {
				i, listed := index[customer]
				if !listed {
					i = int64(len(p.Customers))
					index[customer] = i
					p.Customers = append(p.Customers, customer)
				}
				out.Windows = append(out.Windows, i, w.Counts[customer])
			}
		}
		p.Tallies = append(p.Tallies, out)
	}
	plain, err := json.Marshal(p)
	if err != nil {
		return nil, errors.Wrap(err, "encode usage counts")
	}
	var buf bytes.Buffer
	z, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress usage counts")
	}
	if _, err := z.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress usage counts")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress usage counts")
	}
	return buf.Bytes(), nil
}

func sortedKeys(m map[string]int64) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	slices.Sort(list)
	return list
}

// Unpack decodes the result of Pack.
func Unpack(data []byte) ([]Tally, error) {
	z := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(z, maxUnpackedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress usage counts")
	}
	var p packed
	if err := json.Unmarshal(plain, &p); err != nil {
		return nil, errors.Wrap(err, "decode usage counts")
	}
	list := make([]Tally, len(p.Tallies))
	for i, t := range p.Tallies {
		list[i] = Tally{Name: t.Name, Incarnation: t.Incarnation}
		if list[i].Windows, err = p.decodeWindows(t.Windows); err != nil {
			return nil, errors.Wrapf(err, "decode usage counts of daemon %q", t.Name)
		}
	}
	return list, nil
}

// decodeWindows decodes the windows of one tally.
func (p *packed) decodeWindows(nums []int64) ([]Window, error) {
	var list []Window
	for len(nums) > 0 {
		if len(nums) < 2 || nums[1] < 0 || nums[1] > int64(len(nums)-2)/2 {
			return nil, errors.New("encoded window is truncated")
		}
		w := Window{Number: nums[0], Counts: make(map[string]int64, nums[1])}
		pairs := nums[2 : 2+2*nums[1]]
		nums = nums[2+2*nums[1]:]
		for i := 0; i < len(pairs); i += 2 {
			if pairs[i] < 0 || pairs[i] >= int64(len(p.Customers)) {
				return nil, errors.Errorf("customer index %d in an encoded window is out of range", pairs[i])
			}
			w.Counts[p.Customers[pairs[i]]] = pairs[i+1]
		}
		list = append(list, w)
	}
	return list, nil
}
