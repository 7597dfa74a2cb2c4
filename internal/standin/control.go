package standin

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
	"github.com/lagoonmux/lagoonmux/internal/standin/httpjson"
)

const faultTimeout = 2 * time.Second // of one POST /faults

// ReadManifest reads and validates the manifest at path.
func ReadManifest(path string) (*manifest.Manifest, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	return manifest.Parse(path, data)
}

// Selection selects upstreams of a manifest. Empty fields match all upstreams.
type Selection struct {
	Upstream string
	Service  string
	Zone     string

	Reclaimable bool // only upstreams on reclaimable VMs
}

func (s *Selection) matches(u *manifest.Upstream) bool {
	return (s.Upstream == "" || s.Upstream == u.Name) &&
		(s.Service == "" || s.Service == u.Service) &&
		(s.Zone == "" || s.Zone == u.Zone) &&
		(!s.Reclaimable || u.Reclaimable)
}

// SetFaults posts plan to the stand-ins for the selected upstreams and returns the
// names of those that accepted it. It stops at the first error. If control, the
// control address of the stand-ins, is not empty, plan also reaches upstreams whose
// own port is closed by a fault.
func SetFaults(m *manifest.Manifest, s Selection, control string, plan faults.Plan) ([]string, error) {
	var names []string
	for i := range m.Upstreams {
		u := &m.Upstreams[i]
		if !s.matches(u) {
			continue
		}
		address := u.Address
		if control != "" {
			address = control + "/" + u.Name
		}
		if err := PostFaults(address, plan); err != nil {
			return names, err
		}
		names = append(names, u.Name)
	}
	if len(names) == 0 {
		return nil, errors.New("set faults: no upstream matches the selection")
	}
	return names, nil
}

// PostFaults posts plan to the stand-in at address, a host and port that a path
// prefix may follow.
func PostFaults(address string, plan faults.Plan) error {
	return httpjson.Post(address, faults.Path, faultTimeout, plan, nil)
}
