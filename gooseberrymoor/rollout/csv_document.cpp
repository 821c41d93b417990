#include "gooseberrymoor/rollout/csv_document.h"

#include <boost/spirit/home/x3.hpp>

#include <algorithm>

namespace gooseberrymoor {

namespace {

namespace x3 = boost::spirit::x3;

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

const auto quotedField = x3::rule<struct quoted_tag, std::string> {}
= x3::lit('"') >> *((x3::char_ - '"') | (x3::lit("\"\"") >> x3::attr('"'))) >> x3::lit('"');
const auto plainField = x3::rule<struct plain_tag, std::string> {}
= *(x3::char_ - x3::char_(",\"\r\n"));
const auto fields = x3::rule<struct fields_tag, std::vector<std::string>> {}
= (quotedField | plainField) % ',';
const auto lineEnd = x3::eol | x3::eoi;

} // namespace

tl::expected<std::vector<csv_record>, csv_error> parseCsv(std::string_view text)
{
    if (text.starts_with(byte_order_mark))
        text.remove_prefix(byte_order_mark.size());
    std::vector<csv_record> records;
    std::size_t line = 1;
    auto position = text.begin();
    while (position != text.end()) {
        csv_record record { line, {} };
        const auto begin = position;
        if (!x3::parse(position, text.end(), fields >> lineEnd, record.fields))
            return tl::unexpected(csv_error {
                line, "unterminated quoted field, or a quote inside an unquoted field" });
        line += static_cast<std::size_t>(std::count(begin, position, '\n'));
        const bool empty = record.fields.size() == 1 && record.fields.front().empty();
        if (!empty)
            records.push_back(std::move(record));
    }
    return records;
}

} // namespace gooseberrymoor
