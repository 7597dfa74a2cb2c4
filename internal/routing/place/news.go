package place

import "time"

// maxFeed bounds the parts remembered to be told to other daemons.
const maxFeed = 1024

// CachedSegment tells that an upstream has read a part of a prompt.
type CachedSegment struct {
	Segment      uint64
	UpstreamHash uint32 // hash of its ID
}

// cacheFeed is a list of parts that other daemons are to learn of.
type cacheFeed struct {
	list    []CachedSegment
	base    uint64            // number of the first of list
	cursors map[string]uint64 // by daemon, number of the first that it was not told
}

func newCacheFeed() *cacheFeed { return &cacheFeed{cursors: make(map[string]uint64)} }

func (f *cacheFeed) add(k CachedSegment) {
	if len(f.list) == maxFeed {
		f.list = append(f.list[:0], f.list[maxFeed/2:]...)
		f.base += maxFeed / 2
	}
	f.list = append(f.list, k)
}

// take returns what was added since the call before for the same daemon.
func (f *cacheFeed) take(daemon string) []CachedSegment {
	start, known := f.cursors[daemon]
	if !known {
		start = f.base + uint64(len(f.list)) // what came before is old
	}
	f.cursors[daemon] = f.base + uint64(len(f.list))
	return append([]CachedSegment(nil), f.list[max(start, f.base)-f.base:]...)
}

// TakeCached returns the shared parts of which a daemon was not told yet: what upstreams
// have read for this daemon and its group, or for all daemons. A few may be left
// out.
func (p *Placer) TakeCached(daemon string, all bool) []CachedSegment {
	p.mu.Lock()
	defer p.mu.Unlock()
	if all {
		return p.allFeed.take(daemon)
	}
	return p.groupFeed.take(daemon)
}

// MergeCached takes in what upstreams have read for another daemon, which may be a
// member of this one's group.
func (p *Placer) MergeCached(list []CachedSegment, member bool, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range list {
		s := p.byHash[k.UpstreamHash]
		if s == nil {
			continue
		}
		s.cache.add(k.Segment, 0, now)
		if p.viaHubs {
			p.allFeed.add(k)
		}
		if member {
			p.groupFeed.add(k)
		}
	}
}

// publishCached adds the shared parts of a prompt to what others are told. Many daemons
// tell of parts that were read elsewhere than at home only. The caller holds mu.
func (p *Placer) publishCached(s *upstreamState, prompt []Segment, info promptInfo) {
	if p.viaHubs && s.upstream == info.home {
		return
	}
	first := 0
	if p.viaHubs {
		first = max(len(prompt)-2, 0) // the last shared part stands for those before it
	}
	for i := first; i < len(prompt)-1; i++ {
		entry := CachedSegment{prompt[i].ID, s.hash}
		p.groupFeed.add(entry)
		if p.viaHubs {
			p.allFeed.add(entry)
		}
	}
}
