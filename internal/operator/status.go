package operator

// Status is the state of a daemon, and the state of the other daemons and of the
// upstreams as this daemon knows it.
type Status struct {
	Name          string           `json:"name"`
	Region        string           `json:"region"`
	Zone          string           `json:"zone"`
	Version       string           `json:"version"`
	State         string           `json:"state"`             // state in charts/daemon.json
	Generation    int64            `json:"generation"`        // of the manifest in force; 0 for none
	ManifestError string           `json:"trouble,omitempty"` // why no manifest is in force
	Ready         bool             `json:"ready"`
	Draining      bool             `json:"draining"`
	Connections   int              `json:"connections"` // open connections of callers
	Unreadable    int64            `json:"unreadable"`  // requests rejected because they were malformed, too large or received too slowly
	Daemons       []DaemonStatus   `json:"daemons"`
	Upstreams     []UpstreamStatus `json:"upstreams"`
}

// DaemonStatus is the known state of one daemon.
type DaemonStatus struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	Zone       string `json:"zone"`
	Operator   string `json:"operator"` // address of its operator port
	State      string `json:"state"`
	Generation int64  `json:"generation"` // of the manifest in force there
	LagMS      int64  `json:"lag_ms"`     // from the acceptance of that manifest until it was in force there
}

// UpstreamStatus is the known state of one upstream.
type UpstreamStatus struct {
	Name        string `json:"name"`
	State       string `json:"state"`
	Incarnation int64  `json:"incarnation"`
	DeadlineMS  int64  `json:"deadline_ms,omitempty"` // unix time at which a leaving upstream ends
}
