/** @file IdsTest.cpp Text forms of identifiers. */
#include <sequoia/Ids.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace sequoia;

struct IdRow {
    char text[80];
    bool isJob;
};

ParameterizedTestParameters(Ids, parseJobId)
{
    static IdRow rows[] = {
        { "127.0.0.1:80~00000000000000ff~7~3", true },
        { "127.0.0.1:80~ffffffffffffffff~18446744073709551615~4294967295", true },
        { "", false },
        { "127.0.0.1~ff~7~3", false },
        { "127.0.0.1:80~ff~7", false },
        { "127.0.0.1:80~ff~7~3~4", false },
        { "127.0.0.1:80~ff~7~4294967296", false },
        { "127.0.0.1:80~ff~7~-1", false },
        { "127.0.0.1:80~xyz~7~1", false },
        { "127.0.0.1:80~ff~ 7~1", false },
    };
    return cr_make_param_array(IdRow, rows, sizeof(rows) / sizeof(IdRow));
}

ParameterizedTest(IdRow* row, Ids, parseJobId)
{
    const auto id = parseJobId(row->text);
    cr_assert_eq(id.has_value(), row->isJob, "%s", row->text);
    if (id)
        cr_assert(parseJobId(toString(*id)) == id);
}
