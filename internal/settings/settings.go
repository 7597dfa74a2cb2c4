// Package settings reads the settings of the daemon on one VM: its addresses,
// availability zone, platform endpoints and credentials.
//
// Settings are fixed while the daemon runs. Configuration that can change at run
// time is in the manifest.
package settings

import (
	"os"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/jsonc"
)

// Settings holds the settings of the daemon on one VM.
type Settings struct {
	Name            string   `json:"name" validate:"required"`                // unique among daemons
	Region          string   `json:"region" validate:"required"`              // cloud region that contains the zone
	Zone            string   `json:"zone" validate:"required"`                // availability zone
	VMClass         string   `json:"vm_class" validate:"required"`            // name of a VM class in the manifest
	Cores           int      `json:"cores" validate:"required,min=1,max=512"` // CPU cores of this VM
	CallerAddress   string   `json:"caller_address" validate:"required,hostname_port"`
	OperatorAddress string   `json:"operator_address" validate:"required,hostname_port"`
	PeerAddress     string   `json:"peer_address" validate:"required,hostname_port"`
	Seeds           []string `json:"peers,omitempty" validate:"dive,hostname_port"` // peer addresses of daemons to contact first
	// DrainWaitMS is how long a stopping daemon still accepts requests after it
	// reports not ready, so that the load balancer notices and stops sending new
	// ones. 0 means the default.
	DrainWaitMS int      `json:"drain_wait_ms,omitempty" validate:"gte=0,lte=60000"`
	Platform    Platform `json:"platform"`
	TLS         *TLS     `json:"tls,omitempty"`
	LogLevel    string   `json:"log_level,omitempty" validate:"omitempty,oneof=trace debug info warn error"`
}

// Platform holds the URLs and credentials of the platform's services.
type Platform struct {
	Table     string `json:"table" validate:"required,url"`   // table service
	Objects   string `json:"objects" validate:"required,url"` // object store
	Cloud     string `json:"cloud" validate:"required,url"`   // cloud API with the list of VMs
	AccessKey string `json:"access_key,omitempty"`
	SecretKey string `json:"secret_key,omitempty"`
}

// TLS holds the paths of the PEM files for mutual TLS on the operator and peer
// ports.
type TLS struct {
	Certificate string `json:"certificate" validate:"required,file"`
	Key         string `json:"key" validate:"required,file"`
	Authorities string `json:"authorities" validate:"required,file"` // CA certificates that the other side's certificate must chain to
}

const defaultDrainWaitMS = 1000

// Load reads and validates the settings in the file at path. Violations are
// returned as jsonc.Errors with line, field and problem.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse decodes and validates settings given as JSON with comments and sets
// defaults. The file name is used in errors only.
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
