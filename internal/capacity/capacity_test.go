package capacity

import "testing"

// TestSeriesHaveThreeIncreasingSizes guards against a series that cannot show nonlinear growth, because it has fewer than
// three sizes, sizes that do not increase, or values that were not measured.
func TestSeriesHaveThreeIncreasingSizes(t *testing.T) {
	for _, name := range []string{"configuration", "token"} {
		series, found, err := Measure(name, 1)
		if err != nil || !found || len(series) == 0 {
			t.Fatalf("%s: %d series, %v", name, len(series), err)
		}
		for _, sr := range series {
			checkSeries(t, sr)
		}
	}
}

func checkSeries(t *testing.T, sr Series) {
	t.Helper()
	if len(sr.Points) < 3 {
		t.Errorf("%s has %d sizes, want at least 3", sr.Quantity, len(sr.Points))
	}
	for index, point := range sr.Points {
		if point.Value <= 0 {
			t.Errorf("%s at %d %s is %v, want a positive value", sr.Quantity, point.Size, sr.Against, point.Value)
		}
		if index > 0 && point.Size <= sr.Points[index-1].Size {
			t.Errorf("the sizes of %s do not increase", sr.Quantity)
		}
	}
}

// TestMembershipIsDeterministic guards against simulated membership traffic that differs between two runs with the same
// seed.
func TestMembershipIsDeterministic(t *testing.T) {
	a, b := newNetwork(3, 21, 3).measureIdleCost(), newNetwork(3, 21, 3).measureIdleCost()
	if a.bytes != b.bytes || a.messages != b.messages {
		t.Errorf("two runs with the same seed differ: %+v and %+v", a, b)
	}
}
