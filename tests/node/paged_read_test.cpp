#include "node/paged_read.h"

#include "store_fixture.h"

#include <doctest/doctest.h>

#include <set>

using namespace daisypass;

namespace {

// More than two pages: the store returns at most 500 rows in one answer.
constexpr int rowCount = 1'200;

std::vector<row_update> manyRows()
{
    std::vector<row_update> rows;
    for (int i = 0; i < rowCount; ++i) {
        rows.push_back({{"entries", "", "i-" + std::to_string(i)}, "entry"});
    }
    return rows;
}

} // namespace

// Guards against reading only the first page, which would leave the executors on later pages unknown.
TEST_CASE("a read of a large table goes on until its last page")
{
    store_fixture world(manyRows());
    std::set<row_key> read;
    int pages = 0;
    std::promise<void> done;

    SUBCASE("every row is read")
    {
        readAllPages(world.store(), {"entries", "", "", ""}, store_fixture::timeout, [&](const rows_result &page, bool last) {
            ++pages;
            for (const store_row &row : page.rows) {
                read.insert(row.key);
            }
            if (last) {
                done.set_value();
            }
            return true;
        });
        done.get_future().get();
        CHECK(read.size() == rowCount);
        CHECK(pages == 3);
    }
    SUBCASE("the handler can end the read early")
    {
        readAllPages(world.store(), {"entries", "", "", ""}, store_fixture::timeout, [&](const rows_result &page, bool last) {
            ++pages;
            CHECK_FALSE(last);
            CHECK(page.rows.size() == 500);
            done.set_value();
            return false;
        });
        done.get_future().get();
        CHECK(world.value({"entries", "", "i-7"}) == "entry");
        CHECK(pages == 1);
    }
}

// Guards against a reader that waits forever for further pages after one that failed.
TEST_CASE("a page that can't be read is the last one")
{
    http_client client{http_client_options{}};
    constexpr std::uint16_t closedPort = 1;
    store_client store(client, {"127.0.0.1", closedPort});
    std::promise<bool> done;
    readAllPages(store, {"entries", "", "", ""}, store_fixture::timeout, [&done](const rows_result &page, bool last) {
        CHECK(page.status == store_status::Refused);
        done.set_value(last);
        return true;
    });
    CHECK(done.get_future().get());
}
