#include "node/transaction_parts.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

using namespace daisypass;

namespace {

row_key key(const std::string &name)
{
    return {"state", "L", name};
}

} // namespace

// Guards against a row that the store refuses for good and that keeps all other rows of its transaction from being stored.
TEST_CASE("a batch of which the store refuses some rows for good")
{
    transaction_part whole;
    for (int job = 0; job < 80; ++job) {
        whole.puts.push_back({key("job" + std::to_string(job)), "state"});
    }
    whole.puts.push_back({key("job7/0.0"), "tasks"});
    whole.deletes = {key("job7/0.64"), key("job8/0.0"), key("gone")};
    const std::size_t entries = whole.puts.size() + whole.deletes.size();
    transaction_parts parts;
    parts.begin(whole);
    std::vector<std::string> refused;
    std::vector<std::string> stored;
    int transactions = 0;
    const std::function<void()> play = [&] {
        while (parts.takeNext()) {
            ++transactions;
            const transaction_part part = parts.current();
            const bool valid = std::none_of(part.puts.begin(), part.puts.end(), [&](const row_update &put) {
                return std::find(refused.begin(), refused.end(), put.key.key) != refused.end();
            });
            if (!valid) {
                parts.refuse();
                continue;
            }
            for (const row_update &put : part.puts) {
                stored.push_back(put.key.key);
            }
            for (const row_key &deleted : part.deletes) {
                stored.push_back(deleted.key);
            }
        }
    };

    SUBCASE("is stored at once if there is none")
    {
        play();
        CHECK(transactions == 1);
        CHECK(stored.size() == entries);
        CHECK(parts.refusedKeys().empty());
    }
    SUBCASE("has all rows stored but those of the job at fault")
    {
        refused = {"job7/0.0"};
        play();
        REQUIRE(parts.refusedKeys().size() == 3);
        CHECK(parts.refusedKeys()[0] == key("job7"));
        CHECK(parts.refusedKeys()[1] == key("job7/0.0"));
        CHECK(parts.refusedKeys()[2] == key("job7/0.64"));
        CHECK(stored.size() == entries - 3);
        CHECK(transactions <= 2 * 7 + 1);
    }
    SUBCASE("has each refused row set aside")
    {
        refused = {"job0", "job40", "job79"};
        play();
        CHECK(parts.refusedKeys().size() == 3);
        CHECK(stored.size() == entries - 3);
    }
}
