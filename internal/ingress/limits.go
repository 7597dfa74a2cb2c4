package ingress

import "time"

// Limits bounds the connections, memory and time that callers can use.
type Limits struct {
	Connections       int           // open at once; further ones are rejected with 503
	HeaderBytes       int           // of one request head; more is rejected with 431
	BodyBytes         int           // of one request body; more is rejected with 413
	BufferedBodyBytes int64         // of all large bodies being received or served; more is rejected with 503
	PipelinedBytes    int           // received while a request is being served; more closes the connection
	UnreadBytes       int           // of a response; beyond that, writes to the caller and so reads from the upstream wait
	HeaderTimeout     time.Duration // from the first byte of a request to the end of its head; then 408
	BodyTimeout       time.Duration // for the body, in addition to the time it takes at MinBodyRate; then 408
	MinBodyRate       int           // bytes per second
	IdleTimeout       time.Duration // between requests
	WriteTimeout      time.Duration // for a write to wait for a slow reader, and for the last bytes before a close
	DrainGrace        time.Duration // during which a drain keeps idle connections open for one more request
}

// DefaultLimits returns the limits that apply unless the settings change them.
func DefaultLimits() Limits {
	return Limits{
		Connections:       20000,
		HeaderBytes:       16 << 10,
		BodyBytes:         64 << 20,
		BufferedBodyBytes: 512 << 20,
		PipelinedBytes:    256 << 10,
		UnreadBytes:       256 << 10,
		HeaderTimeout:     10 * time.Second,
		BodyTimeout:       10 * time.Second,
		MinBodyRate:       64 << 10,
		IdleTimeout:       75 * time.Second,
		WriteTimeout:      10 * time.Second,
		DrainGrace:        time.Second,
	}
}
