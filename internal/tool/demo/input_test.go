package demo_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"fuchsiahoist.example/hoist/internal/tool/demo"
)

const goodLine = `{"type":"request","key":"k1","customer":"c","service":"matching","class":"quick"}`

// TestReadInput guards against invalid input that is accepted, and against errors that
// do not name the line and the problem.
func TestReadInput(t *testing.T) {
	cases := []struct {
		name, text, want string
	}{
		{"not JSON", "hello", "in.jsonl:1"},
		{"unknown field", goodLine + "\n" + `{"type":"request","colour":"red"}`, "in.jsonl:2: json: unknown field \"colour\""},
		{"unknown type", `{"type":"wish"}`, "type is \"wish\""},
		{"no key", `{"type":"request","customer":"c","service":"s","class":"quick"}`, "key is missing"},
		{"bad class", `{"type":"request","key":"k","customer":"c","service":"s","class":"slow"}`, "class is \"slow\""},
		{"two values", goodLine + goodLine, "more than one value"},
		{"same key twice", goodLine + "\n\n" + goodLine, "in.jsonl:3: request k1 is already used in line 1"},
		{"job without tasks", `{"type":"job","job":"j","team":"t","kind":"batch","cpu-millis":1}`, "job \"j\" has 0 tasks"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := demo.ReadInput(strings.NewReader(c.text), "in.jsonl")
			is.True(errors.Is(err, demo.ErrInput)) // the error is ErrInput
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %q does not contain %q", err, c.want)
			}
		})
	}
}

// FuzzReadInput guards against input that crashes ReadInput, and against accepted lines
// that have neither a key nor a job id.
func FuzzReadInput(f *testing.F) {
	f.Add(goodLine)
	f.Add(`{"type":"job","job":"j","team":"t","kind":"gang","tasks":2,"cpu-millis":1}`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := demo.ReadInput(strings.NewReader(text), "in.jsonl")
		if err != nil && !errors.Is(err, demo.ErrInput) {
			t.Errorf("error %v is not ErrInput", err)
		}
		for _, l := range lines {
			if l.Key == "" && l.Job == "" {
				t.Errorf("line has neither key nor job id: %+v", l)
			}
		}
	})
}
