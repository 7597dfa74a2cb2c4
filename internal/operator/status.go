package operator

// Status is what a daemon says of itself, of the other daemons and of the
// upstreams.
type Status struct {
	Name          string           `json:"name"`
	Region        string           `json:"region"`
	Zone          string           `json:"zone"`
	Version       string           `json:"version"`
	State         string           `json:"state"`             // of the daemon's state chart
	Generation    int64            `json:"generation"`        // of the manifest in force; 0 for none
	ManifestError string           `json:"trouble,omitempty"` // why no manifest is in force
	Ready         bool             `json:"ready"`
	Draining      bool             `json:"draining"`
	Connections   int              `json:"connections"` // of callers
	Unreadable    int64            `json:"unreadable"`  // requests refused as malformed, too large or too slow
	Daemons       []DaemonStatus   `json:"daemons"`
	Upstreams     []UpstreamStatus `json:"upstreams"`
}

// DaemonStatus is what is known of one daemon.
type DaemonStatus struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	Zone       string `json:"zone"`
	Operator   string `json:"operator"` // operator address
	State      string `json:"state"`
	Generation int64  `json:"generation"`
	LagMS      int64  `json:"lag_ms"` // from acceptance of that manifest until it was in force there
}

// UpstreamStatus is what is known of one upstream.
type UpstreamStatus struct {
	Name        string `json:"name"`
	State       string `json:"state"`
	Incarnation int64  `json:"incarnation"`
	DeadlineMS  int64  `json:"deadline_ms,omitempty"` // unix time at which a leaving upstream ends
}
