package publish

import (
	"context"
	"time"

	"github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/cli"
	"github.com/chestnutroad/chestnutroad/internal/config"
	"github.com/chestnutroad/chestnutroad/internal/platform"
	"github.com/chestnutroad/chestnutroad/internal/record"
)

// readWait is how long a read of the log waits for new records, and the pause after a failed read.
const readWait = 200 * time.Millisecond

// historyLimit is the number of accepted configurations that the reader of History remembers.
const historyLimit = 10_000

// Publisher publishes and lists configurations. It uses the log directly, so that it needs no host of the fleet.
type Publisher struct {
	log   chestnutroad.Log
	check config.Check
}

// New returns a publisher for the log; check returns an error if a body is not a valid configuration.
func New(log chestnutroad.Log, check config.Check) *Publisher {
	return &Publisher{log: log, check: check}
}

// Publish appends the configuration once and returns its verdict, which is the same for all readers of the log. Without a
// parent in the request, the parent is the version in force.
func (pb *Publisher) Publish(ctx context.Context, request cli.PublishRequest) (cli.PublishAnswer, error) {
	reader := config.NewReader(record.Writer{}, pb.check)
	if err := pb.readToEnd(ctx, reader, nil); err != nil {
		return cli.PublishAnswer{}, err
	}
	parent := reader.InForce().Version
	if request.Parent != nil {
		parent = *request.Parent
	}
	publish, data := reader.Publish(time.Now(), record.PublishID(request.PublishID), parent, request.Body)
	if data != nil {
		pb.append(ctx, publish, data)
	}
	pb.awaitVerdict(ctx, reader, publish)
	return answerOf(reader, publish.Result()), nil
}

// append appends the record once and records the result; if the answer is lost, awaitVerdict finds out whether the append
// took effect.
func (pb *Publisher) append(ctx context.Context, publish *config.Publisher, data []byte) {
	_, err := pb.log.Append(ctx, chestnutroad.StreamConfiguration, data)
	switch {
	case err == nil:
		publish.ObserveAppend(record.AppendOK)
	case platform.NotAppended(err):
		publish.ObserveAppend(record.AppendFailed)
	default:
		publish.ObserveAppend(record.AppendUnknown)
	}
}

// awaitVerdict reads the log until the publish is decided or the context is done.
func (pb *Publisher) awaitVerdict(ctx context.Context, reader *config.Reader, publish *config.Publisher) {
	for publish.Result().State == config.PublishPending && ctx.Err() == nil {
		batch, err := pb.log.Read(ctx, chestnutroad.StreamConfiguration, reader.NextOffset(), readWait)
		if err == nil {
			publish.ObserveVerdicts(reader.ReadBatch(time.Now(), batch))
		} else {
			pause(ctx, readWait)
		}
		publish.Tick(time.Now())
	}
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// readToEnd reads the stream to its current end and calls visit, if set, for each batch with the verdicts on its records.
func (pb *Publisher) readToEnd(
	ctx context.Context, reader *config.Reader, visit func(chestnutroad.Batch, []config.Verdict),
) error {
	for {
		batch, err := pb.log.Read(ctx, chestnutroad.StreamConfiguration, reader.NextOffset(), 0)
		if err != nil {
			return err
		}
		verdicts := reader.ReadBatch(time.Now(), batch)
		if visit != nil {
			visit(batch, verdicts)
		}
		if reader.NextOffset() >= batch.Next {
			return nil
		}
	}
}

// answerOf converts a result to an answer. The verdict is unknown unless the log has decided the publish.
func answerOf(reader *config.Reader, result config.PublishResult) cli.PublishAnswer {
	inForce := reader.InForce()
	answer := cli.PublishAnswer{Verdict: cli.VerdictUnknown, Version: inForce.Version, Reason: result.Message}
	switch result.State {
	case config.PublishAccepted:
		answer.Verdict = cli.VerdictAccepted
		answer.Version = result.Version
	case config.PublishRefused:
		answer.Verdict = cli.VerdictRefused
		answer.Body = inForce.Body
	case config.PublishPending, config.PublishUnknown:
		if answer.Reason == "" {
			answer.Reason = "no verdict was read in time; see config history before publishing again"
		}
	}
	return answer
}

// History lists the records that the log still retains, with the verdict on each.
func (pb *Publisher) History(ctx context.Context) ([]cli.HistoryEntry, error) {
	reader := config.NewReader(record.Writer{}, pb.check, config.WithHistory(historyLimit))
	var entries []cli.HistoryEntry
	err := pb.readToEnd(ctx, reader, func(batch chestnutroad.Batch, verdicts []config.Verdict) {
		for _, verdict := range verdicts {
			entries = append(entries, entryOf(batch, verdict))
		}
	})
	return entries, err
}

func entryOf(batch chestnutroad.Batch, verdict config.Verdict) cli.HistoryEntry {
	entry := cli.HistoryEntry{
		Offset:    verdict.Offset,
		PublishID: string(verdict.PublishID),
		Version:   verdict.Version,
		Verdict:   cli.VerdictRefused,
		Reason:    verdict.Message,
	}
	if verdict.Accepted {
		entry.Verdict = cli.VerdictAccepted
	}
	for _, rec := range batch.Records {
		if rec.Offset == verdict.Offset {
			entry.Appended = rec.Appended
			fillProposal(&entry, rec)
		}
	}
	return entry
}

func fillProposal(entry *cli.HistoryEntry, rec chestnutroad.Record) {
	proposal, err := record.DecodeConfig(rec.Data)
	if err != nil {
		return
	}
	entry.Parent = proposal.Parent
	entry.Version = proposal.Version
}
