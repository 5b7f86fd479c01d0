package service_test

import (
	"net/http"
	"testing"

	chestnutroad "github.com/chestnutroad/chestnutroad"
	"github.com/chestnutroad/chestnutroad/internal/service"
	"github.com/chestnutroad/chestnutroad/internal/standin"
	servicestandin "github.com/chestnutroad/chestnutroad/internal/standin/service"
)

// TestExecutions guards against a stand-in that miscounts executions, which would hide from other tests that an order ran twice
// or never.
func TestExecutions(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		faults  standin.Faults
		options []servicestandin.Option
		kinds   []chestnutroad.Kind
		count   int
	}{
		{"each execution counted", standin.Faults{}, nil, []chestnutroad.Kind{"", ""}, 2},
		{"deduplicated", standin.Faults{}, []servicestandin.Option{servicestandin.WithDeduplication()}, []chestnutroad.Kind{"", ""}, 1},
		{"answer lost after execution", standin.Faults{LoseAnswers: 1}, nil, []chestnutroad.Kind{chestnutroad.OutcomeUnknown}, 1},
		{"refused before execution", standin.Faults{RefuseNotRun: 1}, nil, []chestnutroad.Kind{chestnutroad.TargetRefused, ""}, 1},
		{"unavailable", standin.Faults{Unavailable: true}, nil, []chestnutroad.Kind{""}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			standIn := servicestandin.New(test.options...)
			server, err := standin.Start("127.0.0.1:0", standIn.FaultInjector(), standIn.Handler())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = server.Close() }()
			standIn.FaultInjector().Set(test.faults)
			call := &chestnutroad.Call{Method: http.MethodPost, Path: "/bookings", Header: http.Header{"Idempotency-Key": {"k"}}, Repeat: chestnutroad.RepeatNever}
			for _, kind := range test.kinds {
				err := service.New(server.Address()).Do(t.Context(), call, &standin.Recorder{})
				if (err == nil) != (kind == "") || (err != nil && chestnutroad.RefusalOf(err).Kind != kind) {
					t.Errorf("error %v, want %q", err, kind)
				}
			}
			list := standIn.Executions().Executions
			if len(list) > 1 || (len(list) == 1) != (test.count > 0) || (len(list) == 1 && list[0].Count != test.count) {
				t.Errorf("executions %+v, want %d", list, test.count)
			}
		})
	}
}
