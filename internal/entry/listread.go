package entry

import (
	"context"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/freshness"
)

// readTargetChanges applies the changes of targets that the store holds by now.
func (en *Entry) readTargetChanges(ctx context.Context, progress func()) error {
	started := en.elapsed()
	for {
		held := en.held().Position
		batch, err := en.store.Read(ctx, chestnutroad.KeyedTargets, held, 0)
		progress()
		if err == nil {
			err = en.eras.check(held, batch.Next, true)
		}
		if err != nil {
			return err
		}
		en.applyTargets(batch.Records, batch.Next)
		if !batch.Incomplete {
			en.link.recordRead(freshness.Targets, started)
			return nil
		}
	}
}
