package classifier

// readOnlyWords lists the words that may precede a parenthesis in a read-only
// statement: keywords, types with arguments, and functions of pg_catalog that
// neither write nor depend on session state. PostgreSQL resolves unqualified
// names in pg_catalog first, so a user's function cannot shadow these.
var readOnlyWords = wordSet(
	"as in any all some exists values over filter within using on and or not when then else case end by from join " +
		"where select having union intersect except array row cast distinct grouping sets cube rollup lateral limit " +
		"offset with partition group order like ilike between is materialized window return recursive " +
		"char character varchar varying numeric decimal float bit time timestamp timestamptz timetz interval bpchar " +
		"text int integer bigint smallint boolean date real uuid jsonb json bytea precision " +
		"abs avg bit_and bit_or bool_and bool_or every cbrt ceil ceiling coalesce concat concat_ws corr count " +
		"cume_dist date_bin date_part date_trunc decode degrees dense_rank div encode exp extract first_value floor " +
		"format gcd generate_series greatest initcap isfinite json_agg json_array_elements json_array_length " +
		"json_build_array json_build_object json_each json_object_agg json_typeof jsonb_agg jsonb_array_elements " +
		"jsonb_array_elements_text jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each " +
		"jsonb_each_text jsonb_object_agg jsonb_object_keys jsonb_path_query jsonb_pretty jsonb_set jsonb_typeof " +
		"justify_days justify_hours justify_interval lag last_value lcm lead least left length ln log lower lpad " +
		"ltrim make_date make_interval make_time make_timestamp make_timestamptz max md5 min mod mode now nth_value " +
		"ntile nullif num_nonnulls num_nulls octet_length overlay percent_rank percentile_cont percentile_disc pi " +
		"position power radians random rank regexp_count regexp_match regexp_matches regexp_replace " +
		"regexp_split_to_array regexp_split_to_table repeat replace reverse right round row_number row_to_json " +
		"rpad rtrim scale sha256 sign split_part sqrt starts_with stddev stddev_pop stddev_samp string_agg " +
		"string_to_array string_to_table strpos substr substring sum to_char to_date to_json to_jsonb to_number " +
		"to_timestamp translate trim trunc unnest upper var_pop var_samp variance version width_bucket age array_agg " +
		"array_append array_cat array_length array_position array_remove array_to_string array_upper array_lower " +
		"cardinality char_length character_length clock_timestamp statement_timestamp transaction_timestamp " +
		"current_database current_schema current_schemas current_setting format_type obj_description col_description " +
		"pg_get_expr pg_get_indexdef pg_get_constraintdef pg_get_viewdef pg_get_userbyid pg_table_is_visible " +
		"pg_type_is_visible pg_is_in_recovery pg_size_pretty pg_sleep pg_typeof pg_encoding_to_char to_regclass " +
		"to_regtype to_tsquery to_tsvector plainto_tsquery websearch_to_tsquery ts_rank group_member_status")

// wordSet returns the set of space-separated words.
func wordSet(words string) map[string]struct{} {
	set := map[string]struct{}{}
	for start, i := 0, 0; i <= len(words); i++ {
		if i == len(words) || words[i] == ' ' {
			set[words[start:i]] = struct{}{}
			start = i + 1
		}
	}
	return set
}

// isReadOnlyWord reports whether readOnlyWords contains the word, in any case. It
// does not allocate.
func isReadOnlyWord(word []byte) bool {
	var buf [32]byte
	if len(word) > len(buf) {
		return false
	}
	for i, c := range word {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		buf[i] = c
	}
	_, ok := readOnlyWords[string(buf[:len(word)])]
	return ok
}
