package body

import "encoding/json"

// maxNesting is the depth of arrays and objects that Unmarshal keeps, counted from the
// whole document. It is far above that of any message, and below the limit of
// encoding/json.
const maxNesting = 200

// Unmarshal decodes a JSON document. Values that are nested too deeply are decoded as
// null, so that one odd object in a list does not keep the others from being read.
func Unmarshal(b []byte, v any) error {
	err := json.Unmarshal(b, v)
	if err == nil {
		return nil
	}
	if cut, found := cutNested(b); found {
		return json.Unmarshal(cut, v)
	}
	return err
}

// cutNested returns a copy of a JSON document in which null replaces each value that is
// nested too deeply, and whether there was any.
func cutNested(b []byte) (cut []byte, found bool) {
	depth, start := 0, 0
	inString := false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
			if depth == maxNesting+1 {
				cut = append(append(cut, b[start:i]...), "null"...)
				found = true
			}
		case c == ']' || c == '}':
			depth--
			if depth == maxNesting {
				start = i + 1
			}
		}
	}
	if depth > maxNesting {
		return nil, false // it is cut off or malformed within such a value
	}
	return append(cut, b[start:]...), found
}
