package commander

import "fmt"

// formatLogValue returns the value of a log field as plain text.
func formatLogValue(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case []byte: // zerolog passes booleans as JSON text.
		return string(v)
	default:
		return fmt.Sprint(v)
	}
}
