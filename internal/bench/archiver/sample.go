package archiver

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"reflect"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// maxNumber bounds the numbers of samples, so that each fits into all types of
// integers.
const maxNumber = 100

// Sample returns a value of the type in which all fields that are encoded under the
// tag, "cbor" or "json", are set. Maps and lists have one element, so that their
// encoded form does not depend on an order. The values follow from the names
// of the fields.
func Sample(t reflect.Type, tag string) any {
	value := reflect.New(t).Elem()
	set(value, tag, t.Name())
	return value.Interface()
}

func set(v reflect.Value, tag, path string) {
	switch v.Interface().(type) {
	case time.Time:
		v.Set(reflect.ValueOf(time.Unix(number(path), 0).UTC()))
		return
	case json.RawMessage:
		v.Set(reflect.ValueOf(json.RawMessage(fmt.Sprintf(`{"sample":%d}`, number(path)))))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		if !setNumber(v, path) {
			setFields(v, tag, path)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		set(v.Elem(), tag, path)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		set(v.Index(0), tag, path+"[]")
	case reflect.Map:
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		set(key, tag, path+".key")
		set(element, tag, path+".value")
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, element)
	default:
		setScalar(v, path)
	}
}

// setNumber sets a value that messages have as a number, although its type is another
// one. It reports whether the value is of that kind.
func setNumber(v reflect.Value, path string) bool {
	u, ok := v.Addr().Interface().(cbor.Unmarshaler)
	if !ok {
		return false
	}
	data, err := cbor.Marshal(number(path))
	return err == nil && u.UnmarshalCBOR(data) == nil
}

func setFields(v reflect.Value, tag, path string) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.IsExported() && field.Tag.Get(tag) != "-" {
			set(v.Field(i), tag, path+"."+field.Name)
		}
	}
}

func setScalar(v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(strings.ToLower(path[strings.LastIndexByte(path, '.')+1:]))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(number(path))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(number(path)))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(number(path)) + 0.5)
	default:
		panic(fmt.Sprintf("no sample for %s of type %s", path, v.Type()))
	}
}

// number returns a number from 1 to maxNumber that follows from the path.
func number(path string) int64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(path))
	return int64(h.Sum32()%maxNumber) + 1
}
