#include "node/paged_read.h"

namespace daisypass {

void readAllPages(store_client &store, const row_range &range, std::chrono::milliseconds pageTimeout, page_handler onPage)
{
    store.get(range, pageTimeout, [&store, range, pageTimeout, onPage = std::move(onPage)](const rows_result &page) {
        const std::optional<row_range> next = page.status == store_status::Ok ? nextPage(range, page) : std::nullopt;
        const bool continueReading = onPage(page, !next);
        if (next && continueReading) {
            readAllPages(store, *next, pageTimeout, onPage);
        }
    });
}

} // namespace daisypass
