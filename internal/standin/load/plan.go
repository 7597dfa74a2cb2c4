package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lagoonmux/lagoonmux/internal/completion"
)

// request is one request of a caller.
type request struct {
	caller      *Caller
	arrival     time.Duration // scheduled, since the start of the run
	method      string
	path        string
	body        []byte
	key         string // idempotency key; empty for none
	prompt      string // as the engines receive it
	tokens      int    // of the response
	hangUpAfter int    // number of tokens after which the caller cancels; -1 for never
	duplicate   bool   // sent twice at the same time
}

// arrivals generates the requests of one caller. The same seed gives the same
// requests.
type arrivals struct {
	caller      *Caller
	pool        *PromptPool
	rng         *rand.Rand
	zipf        *rand.Zipf
	seedLabel   string        // seed and index of the caller; keys and prompts differ between seeds and between callers
	generated   int           // number of requests generated so far
	lastArrival time.Duration // scheduled arrival of the last generated request
}

func newArrivals(m *Mix, i int) *arrivals {
	c := &m.Callers[i]
	a := &arrivals{caller: c, rng: rand.New(rand.NewPCG(m.Seed, uint64(i))), seedLabel: fmt.Sprintf("%d-%d", m.Seed, i)}
	if c.PromptPool != "" {
		a.pool = m.promptPool(c.PromptPool)
	}
	if a.pool != nil && a.pool.Skew > 0 {
		a.zipf = rand.NewZipf(a.rng, a.pool.Skew, 1, uint64(a.pool.Prefixes-1))
	}
	return a
}

// next generates the next request.
func (a *arrivals) next() *request {
	a.lastArrival += time.Duration(a.rng.ExpFloat64() / a.caller.PerSecond * float64(time.Second))
	a.generated++
	r := &request{caller: a.caller, arrival: a.lastArrival, hangUpAfter: -1}
	hangsUp := a.rng.Float64() < a.caller.HangUpShare
	if a.caller.Kind == Plain {
		a.fillPlain(r)
		return r
	}
	a.fillModel(r)
	if hangsUp {
		r.hangUpAfter = a.rng.IntN(r.tokens)
	}
	return r
}

func (a *arrivals) fillPlain(r *request) {
	c := a.caller
	r.method = c.Method
	r.path = "/svc/" + c.Service + c.Path
	if n := a.random(c.BodyBytes); n > 0 {
		r.body = []byte(pseudoText(a.seedLabel+"-"+strconv.Itoa(a.generated), n)[:n])
	}
	if c.Keyed {
		r.key = "key-" + a.seedLabel + "-" + strconv.Itoa(a.generated)
		r.duplicate = a.rng.Float64() < c.DuplicateShare
	}
}

func (a *arrivals) fillModel(r *request) {
	c := a.caller
	r.tokens = a.random(c.ResponseTokens)
	text := a.prefix() + pseudoText(a.seedLabel+"-"+strconv.Itoa(a.generated), a.random(c.UniqueTokens)*bytesPerWord)
	r.method = "POST"
	r.path = completion.Path
	body := completion.Request{Model: c.Service, MaxTokens: r.tokens, Stream: c.Kind == Stream || c.Kind == Chat}
	if c.Kind == Lot {
		r.key = "lot-" + a.seedLabel + "-" + strconv.Itoa(a.generated)
	}
	if c.Kind == Chat {
		r.path = completion.ChatPath
		body.Messages = []completion.Message{{Role: "user", Content: completion.Text(text)}}
	} else {
		body.Prompt = completion.Text(text)
	}
	r.prompt = body.Text()
	data, err := json.Marshal(&body)
	if err != nil {
		panic(err) // every Request can be encoded
	}
	r.body = data
}

// prefix returns a random prefix of the prompt pool, or "" without a pool.
func (a *arrivals) prefix() string {
	if a.pool == nil {
		return ""
	}
	var i int
	if a.zipf != nil {
		i = int(a.zipf.Uint64())
	} else {
		i = a.rng.IntN(a.pool.Prefixes)
	}
	return pseudoText(a.pool.Name+"-"+strconv.Itoa(i), a.pool.PrefixTokens*bytesPerWord)
}

// random returns a random number in r.
func (a *arrivals) random(r Range) int { return r.Min + a.rng.IntN(r.Max-r.Min+1) }

const bytesPerWord = 4 // including the space; the engines count 4 bytes as one token

// pseudoText returns a text of n bytes, rounded up to whole words, that depends on
// label only.
func pseudoText(label string, n int) string {
	var b strings.Builder
	b.Grow(n + bytesPerWord)
	h := xxhash.Sum64String(label)
	for b.Len() < n {
		h ^= h << 13
		h ^= h >> 7
		h ^= h << 17
		w := strconv.FormatUint(h%46656+46656, 36)
		b.WriteString(w[1:4])
		b.WriteByte(' ')
	}
	return b.String()
}
