// Package settings reads the settings of one VM: its addresses, availability
// zone, platform endpoints and keys.
//
// Settings never change while the daemon runs; everything that may change is
// in the manifest.
package settings

import (
	"os"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/jsonc"
)

// Settings describes one VM to the daemon that runs on it.
type Settings struct {
	Name            string   `json:"name" validate:"required"`                // unique among daemons
	Region          string   `json:"region" validate:"required"`              // holds the zone
	Zone            string   `json:"zone" validate:"required"`                // availability zone
	VMClass         string   `json:"vm_class" validate:"required"`            // a class priced in the manifest
	Cores           int      `json:"cores" validate:"required,min=1,max=512"` // processors of this VM
	CallerAddress   string   `json:"caller_address" validate:"required,hostname_port"`
	OperatorAddress string   `json:"operator_address" validate:"required,hostname_port"`
	PeerAddress     string   `json:"peer_address" validate:"required,hostname_port"`
	Seeds           []string `json:"peers,omitempty" validate:"dive,hostname_port"` // peer addresses of daemons to try first
	// DrainWaitMS is how long a stopping daemon goes on taking requests after it
	// reports not ready, until the balancer has seen that.
	DrainWaitMS int      `json:"drain_wait_ms,omitempty" validate:"gte=0,lte=60000"`
	Platform    Platform `json:"platform"`
	TLS         *TLS     `json:"tls,omitempty"`
	LogLevel    string   `json:"log_level,omitempty" validate:"omitempty,oneof=trace debug info warn error"`
}

// Platform holds the endpoints of the platform's services, each a URL.
type Platform struct {
	Table     string `json:"table" validate:"required,url"`   // table service
	Objects   string `json:"objects" validate:"required,url"` // object store
	Cloud     string `json:"cloud" validate:"required,url"`   // cloud API with the list of VMs
	AccessKey string `json:"access_key,omitempty"`
	SecretKey string `json:"secret_key,omitempty"`
}

// TLS names the files for mutual TLS on the operator and peer ports.
type TLS struct {
	Certificate string `json:"certificate" validate:"required,file"`
	Key         string `json:"key" validate:"required,file"`
	Authorities string `json:"authorities" validate:"required,file"` // PEM bundle that peers must chain to
}

const defaultDrainWaitMS = 1000

// Load reads and validates the settings in the named file. Errors of the text
// are jsonc.Errors with line, field and rule.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse validates settings given as text. The file name is used in errors only.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	doc, err := jsonc.Decode(file, data, s)
	if err != nil {
		return nil, err
	}
	s.check(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	if s.DrainWaitMS == 0 {
		s.DrainWaitMS = defaultDrainWaitMS
	}
	return s, nil
}
