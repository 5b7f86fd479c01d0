package capacity

import "testing"

// TestSlopesShowABend guards against a quantity that is measured at too few sizes, or not at all, to show a bend.
func TestSlopesShowABend(t *testing.T) {
	for _, name := range []string{"configuration", "token"} {
		slopes, known, err := Measure(name, 1)
		if err != nil || !known || len(slopes) == 0 {
			t.Fatalf("%s: %d slopes, %v", name, len(slopes), err)
		}
		for _, sl := range slopes {
			checkSlope(t, sl)
		}
	}
}

func checkSlope(t *testing.T, sl Slope) {
	t.Helper()
	if len(sl.Points) < 3 {
		t.Errorf("%s has %d sizes", sl.Quantity, len(sl.Points))
	}
	for index, point := range sl.Points {
		if point.Value <= 0 {
			t.Errorf("%s at %d %s is %v", sl.Quantity, point.Size, sl.Against, point.Value)
		}
		if index > 0 && point.Size <= sl.Points[index-1].Size {
			t.Errorf("%s has no rising sizes", sl.Quantity)
		}
	}
}

// TestMembershipIsSeeded guards against figures that can't be repeated.
func TestMembershipIsSeeded(t *testing.T) {
	one, other := newNetwork(3, 21, 3).measure(), newNetwork(3, 21, 3).measure()
	if one.bytes != other.bytes || one.messages != other.messages {
		t.Errorf("two runs with one seed differ: %+v and %+v", one, other)
	}
}
