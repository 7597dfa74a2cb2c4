package standin

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/jsonc"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/standin/engine"
	"github.com/lagoonmux/lagoonmux/internal/standin/plain"
)

// Profile sets the speeds and delays of the stand-ins that a manifest does not
// declare.
type Profile struct {
	Classes    []ClassProfile `json:"vm_classes" validate:"dive"`
	LoadLagMS  int            `json:"load_lag_ms,omitempty" validate:"gte=0"`  // age of the upstreams' load reports
	EventLagMS int            `json:"event_lag_ms,omitempty" validate:"gte=0"` // delay of the model engines' cache events
	ListLagMS  int            `json:"list_lag_ms,omitempty" validate:"gte=0"`  // age of the cloud API's list of VMs

	WeightLoadsPerSecond float64 `json:"weights_per_second,omitempty" validate:"gte=0"` // rate limit of the weight store; 0 for the default
}

// ClassProfile sets the speed of the upstreams on VMs of one class.
type ClassProfile struct {
	VMClass      string  `json:"vm_class" validate:"required"`
	DecodeMS     float64 `json:"decode_ms,omitempty" validate:"gte=0"`      // duration of a decode step with one request in the batch
	BatchGrowth  float64 `json:"batch_growth,omitempty" validate:"gte=0"`   // as engine.Config.BatchGrowth
	PrefillPerMS float64 `json:"prefill_per_ms,omitempty" validate:"gte=0"` // prompt tokens per ms; 0 for the value in the manifest
	WorkTimeMS   float64 `json:"work_ms,omitempty" validate:"gte=0"`        // duration of one call of a plain service
}

// ReadProfile reads and validates the profile at path. An empty path means a profile
// of defaults.
func ReadProfile(path string) (*Profile, error) {
	p := &Profile{}
	if path == "" {
		return p, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read profile")
	}
	if _, err := jsonc.Decode(path, data, p); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Profile) classProfile(name string) ClassProfile {
	for _, c := range p.Classes {
		if c.VMClass == name {
			return c
		}
	}
	return ClassProfile{}
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

func (p *Profile) engineConfig(m *manifest.Manifest, u *manifest.Upstream, computed *engine.ComputedBlocks) engine.Config {
	c := p.classProfile(u.VMClass)
	cfg := engine.Config{
		Name:         u.Name,
		Slots:        u.Slots,
		PrefillPerMS: float64(u.PrefillPerMS),
		DecodeStep:   milliseconds(c.DecodeMS),
		BatchGrowth:  c.BatchGrowth,
		CacheTokens:  u.CacheTokens,
		LoadLag:      milliseconds(float64(p.LoadLagMS)),
		EventLag:     milliseconds(float64(p.EventLagMS)),
		ChecksFence:  u.ChecksFence,
		PricePerHour: pricePerHour(m, u),
		Computed:     computed,
	}
	if c.PrefillPerMS > 0 {
		cfg.PrefillPerMS = c.PrefillPerMS
	}
	return cfg
}

func (p *Profile) plainConfig(m *manifest.Manifest, u *manifest.Upstream) plain.Config {
	c := p.classProfile(u.VMClass)
	return plain.Config{Name: u.Name, Slots: u.Slots, WorkTime: milliseconds(c.WorkTimeMS), PricePerHour: pricePerHour(m, u)}
}

// pricePerHour returns the hourly price of the upstream's VM, or 0 if the manifest has
// no such VM class.
func pricePerHour(m *manifest.Manifest, u *manifest.Upstream) float64 {
	for _, c := range m.VMClasses {
		if c.Name == u.VMClass && u.Reclaimable {
			return c.ReclaimablePerHour
		}
		if c.Name == u.VMClass {
			return c.OnDemandPerHour
		}
	}
	return 0
}
