package golden

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"
)

// filler sets fields to values that differ from each other.
type filler struct{ next int }

// Fill sets every exported field that the value, a pointer, writes under its own name or a tag, at any depth.
func Fill(t *testing.T, value any) {
	t.Helper()
	fl := &filler{}
	if err := fl.fill(reflect.ValueOf(value).Elem()); err != nil {
		t.Fatal(err)
	}
}

func (fl *filler) fill(value reflect.Value) error {
	fl.next++
	switch value.Type() {
	case reflect.TypeFor[time.Time]():
		value.Set(reflect.ValueOf(time.Unix(int64(1_700_000_000+fl.next), 0).UTC()))
		return nil
	case reflect.TypeFor[netip.AddrPort]():
		value.Set(reflect.ValueOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(fl.next))))
		return nil
	}
	switch value.Kind() {
	case reflect.String:
		value.SetString(fmt.Sprintf("text-%d", fl.next))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(fl.next))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(fl.next))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(fl.next) + 0.5)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		return fl.fill(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		return fl.fill(value.Index(0))
	case reflect.Map:
		return fl.fillMap(value)
	case reflect.Struct:
		return fl.fillStruct(value)
	default:
		return fmt.Errorf("no value is known for the type %s", value.Type())
	}
	return nil
}

func (fl *filler) fillMap(value reflect.Value) error {
	key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
	if err := fl.fill(key); err != nil {
		return err
	}
	if err := fl.fill(element); err != nil {
		return err
	}
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(key, element)
	return nil
}

func (fl *filler) fillStruct(value reflect.Value) error {
	for index := range value.NumField() {
		field := value.Type().Field(index)
		if !field.IsExported() || field.Tag.Get("json") == "-" {
			continue
		}
		if err := fl.fill(value.Field(index)); err != nil {
			return fmt.Errorf("%s.%s: %w", value.Type(), field.Name, err)
		}
	}
	return nil
}
