package place

import "time"

// maxFeedEntries bounds the entries of a cacheFeed.
const maxFeedEntries = 1024

// CachedSegment states that an upstream has cached a prompt segment.
type CachedSegment struct {
	Segment      uint64
	UpstreamHash uint32 // HashID of its ID
}

// cacheFeed is a log of cached segments to send to other daemons.
type cacheFeed struct {
	list    []CachedSegment
	base    uint64            // sequence number of the first entry of list
	cursors map[string]uint64 // sequence number of the first entry not sent yet, by daemon
}

func newCacheFeed() *cacheFeed { return &cacheFeed{cursors: make(map[string]uint64)} }

func (f *cacheFeed) add(k CachedSegment) {
	if len(f.list) == maxFeedEntries {
		f.list = append(f.list[:0], f.list[maxFeedEntries/2:]...)
		f.base += maxFeedEntries / 2
	}
	f.list = append(f.list, k)
}

// take returns the entries added since the last call for the same daemon.
func (f *cacheFeed) take(daemon string) []CachedSegment {
	start, known := f.cursors[daemon]
	if !known {
		start = f.base + uint64(len(f.list)) // entries from before the first call are outdated
	}
	f.cursors[daemon] = f.base + uint64(len(f.list))
	return append([]CachedSegment(nil), f.list[max(start, f.base)-f.base:]...)
}

// TakeCached returns the cached shared segments that were not sent to a daemon yet:
// those from requests of all daemons, or only of this daemon and its group. It returns
// none at the first call for a daemon, and leaves out entries that overflowed the feed.
func (p *Placer) TakeCached(daemon string, all bool) []CachedSegment {
	p.mu.Lock()
	defer p.mu.Unlock()
	if all {
		return p.allFeed.take(daemon)
	}
	return p.groupFeed.take(daemon)
}

// MergeCached records cached segments reported by another daemon and adds them to the feeds
// for further daemons. member is set if the sender belongs to this daemon's group.
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

// publishCached adds the shared segments of a prompt to the feeds. Where daemons use hubs,
// only segments cached elsewhere than at their home are published. The caller holds mu.
func (p *Placer) publishCached(s *upstreamState, prompt []Segment, info promptInfo) {
	if p.viaHubs && info.isHome(s.upstream) {
		return
	}
	first := 0
	if p.viaHubs {
		first = max(len(prompt)-2, 0) // the last shared segment implies those before it
	}
	for i := first; i < len(prompt)-1; i++ {
		entry := CachedSegment{prompt[i].ID, s.hash}
		p.groupFeed.add(entry)
		if p.viaHubs {
			p.allFeed.add(entry)
		}
	}
}
