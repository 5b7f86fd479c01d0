package entry

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/settings"
	"github.com/chestnutroad/chestnutroad/platform"
)

// pagedStore is a store whose reads of all targets have the given numbers of pages, one read after the other. It no longer has the
// records after any position, so that the targets are read anew each time.
type pagedStore struct {
	pages []int
	// between is called between two pages before the host decides whether it reads on.
	between func()
	// decisions receives the host's decision for each further page.
	decisions chan error
	reads     int
}

// Newest returns no records, after the pages of the next read.
func (ps *pagedStore) Newest(
	ctx context.Context, stream chestnutroad.KeyedStream, options chestnutroad.PageOptions,
) (chestnutroad.KeyedBatch, error) {
	if stream != chestnutroad.KeyedTargets || ps.reads == len(ps.pages) {
		<-ctx.Done()
		return chestnutroad.KeyedBatch{}, ctx.Err()
	}
	ps.reads++
	for range ps.pages[ps.reads-1] - 1 {
		ps.between()
		err := options.Continue(ctx)
		ps.decisions <- err
		if err != nil {
			return chestnutroad.KeyedBatch{}, err
		}
	}
	return chestnutroad.KeyedBatch{}, nil
}

// Read reports that the records are gone.
func (ps *pagedStore) Read(
	context.Context, chestnutroad.KeyedStream, chestnutroad.Position, time.Duration,
) (chestnutroad.KeyedBatch, error) {
	return chestnutroad.KeyedBatch{}, chestnutroad.ErrRecordsGone
}

// Put does nothing.
func (ps *pagedStore) Put(context.Context, chestnutroad.KeyedStream, string, []byte) error {
	return nil
}

// PutAt does nothing.
func (ps *pagedStore) PutAt(
	_ context.Context, _ chestnutroad.KeyedStream, _ string, _ []byte, end chestnutroad.Position,
) (chestnutroad.Position, error) {
	return end, nil
}

// TestReadOfSeveralPages guards against a host that leaves a read of the targets after its first page although it has long been
// running: it then knew of changes 0.8 s later, and requests reached leaving targets for more than 2 s. Only a host that starts may
// leave a read once another host has sent it the targets.
func TestReadOfSeveralPages(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// pages are those of the reads one after the other; the decision is about the last one.
		pages []int
		// loaded is true if another host sends the targets during the read.
		loaded bool
		want   error
	}{
		{"a host that starts", []int{2}, true, errLoadedFromHost},
		{"a host that has read one page so far", []int{1, 2}, false, nil},
		{"a host that has read one page and gets targets from another host", []int{1, 2}, true, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			store := &pagedStore{pages: tc.pages, decisions: make(chan error, 1)}
			en := New(&settings.Entry{
				ID: "host-1", CallerAddress: netip.MustParseAddrPort("127.0.0.1:1"), RetryWindow: time.Second,
			}, store, platform.Wire{}, platform.Decoder{}, log.New(io.Discard))
			store.between = func() {
				if tc.loaded {
					en.resetTargets(nil, chestnutroad.Position{Offset: 1}, "host")
				}
			}
			go en.followStore(t.Context())
			select {
			case got := <-store.decisions:
				if !errors.Is(got, tc.want) {
					t.Errorf("got %v, want %v", got, tc.want)
				}
			case <-time.After(5 * time.Second):
				t.Error("the targets were not read")
			}
		})
	}
}
