package archiver

import (
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"oleanderpulley/internal/protocol/encoder"
)

// CheckMessageTexts checks that all message types of the encoder, except those named,
// are decoded as they were sent if each of their texts is the given one.
func CheckMessageTexts(t *testing.T, e *encoder.Encoder, text string, except ...string) {
	t.Helper()
	for name, body := range e.Types() {
		if slices.Contains(except, name) {
			continue
		}
		t.Run(name, func(t *testing.T) {
			sent := reflect.New(body).Elem()
			sent.Set(reflect.ValueOf(Sample(body, "cbor")))
			setTexts(sent, text)
			data, err := e.Encode(7, 9, sent.Interface())
			qt.Assert(t, err, qt.IsNil)
			_, received, err := e.Decode(data)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("texts %q", text))
			again, err := e.Encode(7, 9, received)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again, qt.DeepEquals, data, qt.Commentf("texts %q", text))
		})
	}
}

// setTexts replaces the strings of a value that [Sample] returned.
func setTexts(v reflect.Value, text string) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Pointer:
		setTexts(v.Elem(), text)
	case reflect.Slice:
		for i := range v.Len() {
			setTexts(v.Index(i), text)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				setTexts(v.Field(i), text)
			}
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			nextKey, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			nextKey.Set(key)
			element.Set(v.MapIndex(key))
			setTexts(nextKey, text)
			setTexts(element, text)
			v.SetMapIndex(key, reflect.Value{})
			v.SetMapIndex(nextKey, element)
		}
	}
}
