package settings

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"rhubarbstall.example/api/codes"
)

// checkShape compares the parsed text with the type Document. encoding/json
// names no path for an unknown field, keeps the last of two equal names, and
// matches names without regard to case; all three are refused here.
func checkShape(found *problems, tree *hujson.Value) {
	checkValue(found, tree, reflect.TypeFor[Document](), "")
}

func checkValue(found *problems, v *hujson.Value, t reflect.Type, path string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		checkMembers(found, v, path, func(name string) reflect.Type { return fieldType(t, name) })
	case reflect.Map:
		checkMembers(found, v, path, func(string) reflect.Type { return t.Elem() })
	case reflect.Slice:
		array, ok := v.Value.(*hujson.Array)
		if !ok {
			found.add(codes.SettingsInvalid, shown(path), "must be a list, not %s", kindName(v))
			return
		}
		for i := range array.Elements {
			checkValue(found, &array.Elements[i], t.Elem(), join(path, strconv.Itoa(i)))
		}
	default:
		checkLiteral(found, v, t, path)
	}
}

func checkMembers(found *problems, v *hujson.Value, path string, typeOf func(string) reflect.Type) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		found.add(codes.SettingsInvalid, shown(path), "must be an object, not %s", kindName(v))
		return
	}
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := join(path, name)
		t := typeOf(name)
		switch {
		case seen[name]:
			found.add(codes.SettingsInvalid, memberPath, "is written twice")
		case t == nil:
			found.add(codes.SettingsInvalid, memberPath, "unknown field")
		default:
			checkValue(found, &member.Value, t, memberPath)
		}
		seen[name] = true
	}
}

func checkLiteral(found *problems, v *hujson.Value, t reflect.Type, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		found.add(codes.SettingsInvalid, shown(path), "must be %s, not %s", typeName(t), kindName(v))
		return
	}
	switch t.Kind() {
	case reflect.String:
		ok = literal.Kind() == '"'
	case reflect.Bool:
		ok = literal.Kind() == 't' || literal.Kind() == 'f'
	default:
		_, err := strconv.ParseInt(string(literal), 10, t.Bits())
		ok = err == nil
	}
	if !ok {
		found.add(codes.SettingsInvalid, shown(path), "must be %s, not %s", typeName(t), truncate(string(literal)))
	}
}

// fieldType returns the type of the field with a JSON name, or nil.
func fieldType(t reflect.Type, name string) reflect.Type {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag != "" && tag == name {
			return t.Field(i).Type
		}
	}
	return nil
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a whole number"
	}
}

func kindName(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case 'n':
		return "null; leave the field out instead"
	default:
		return truncate(v.Value.(hujson.Literal).String())
	}
}

func truncate(s string) string {
	if len(s) > 60 {
		return s[:60] + "…"
	}
	return s
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "/" + name
}

func shown(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
