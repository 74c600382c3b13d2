package commander

import "fmt"

// text returns the plain text of a logged value.
func text(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case []byte: // Truth values arrive as their JSON text.
		return string(v)
	default:
		return fmt.Sprint(v)
	}
}
