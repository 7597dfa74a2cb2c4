package standin

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
	"github.com/lagoonmux/lagoonmux/internal/standin/httpjson"
)

const faultTimeout = 2 * time.Second

// ReadManifest reads and validates the manifest in the named file.
func ReadManifest(path string) (*manifest.Manifest, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	return manifest.Parse(path, data)
}

// Selection names upstreams of a manifest. Empty fields match all.
type Selection struct {
	Upstream string
	Service  string
	Zone     string

	Reclaimable bool // only reclaimable ones
}

func (s *Selection) matches(u *manifest.Upstream) bool {
	return (s.Upstream == "" || s.Upstream == u.Name) &&
		(s.Service == "" || s.Service == u.Service) &&
		(s.Zone == "" || s.Zone == u.Zone) &&
		(!s.Reclaimable || u.Reclaimable)
}

// SetFaults posts the plan to the selected stand-ins and returns the names of
// those that took it. With the address of a control port also those take it
// whose own port is closed.
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
		return nil, errors.New("no upstream matches")
	}
	return names, nil
}

// PostFaults posts the plan to the stand-in at address, which may be followed
// by a path.
func PostFaults(address string, plan faults.Plan) error {
	return httpjson.Post(address, faults.Path, faultTimeout, plan, nil)
}
