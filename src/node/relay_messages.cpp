#include "node/relay_messages.h"

#include <msgpack.hpp>

#include <exception>

namespace daisypass {
namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

// The kind of an order in a message. These numbers, and those of order_status and run_end, are part of the protocol between nodes.
enum class order_kind : std::uint8_t { Start, Stop, Throttle, Poll };

void packText(packer &out, std::string_view text)
{
    out.pack_str(static_cast<std::uint32_t>(text.size()));
    out.pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

void packOptional(packer &out, const std::optional<std::int64_t> &value)
{
    if (value) {
        out.pack(*value);
    } else {
        out.pack_nil();
    }
}

// Four elements.
void packTask(packer &out, const sched::task_id &task)
{
    packText(out, task.job);
    out.pack(task.occurrence);
    out.pack(task.step);
    out.pack(task.index);
}

// Each order is an array of its number, kind, executor, address and its own fields.
struct order_packer
{
    packer &out;
    const relayed_order &relayed;

    void begin(order_kind kind, std::uint32_t fields)
    {
        out.pack_array(4 + fields);
        out.pack(relayed.number);
        out.pack(static_cast<int>(kind));
        packText(out, relayed.order.target.id);
        packText(out, relayed.order.target.address);
    }

    void operator()(const start_order &order)
    {
        begin(order_kind::Start, 10);
        packTask(out, order.task);
        out.pack(order.run);
        packText(out, order.payload);
        out.pack(order.leaseEndMs);
        out.pack(order.fencingToken);
        packText(out, order.checkpoint);
        packText(out, order.ticket);
    }

    void operator()(const stop_order &order)
    {
        begin(order_kind::Stop, 6);
        packTask(out, order.task);
        out.pack(order.run);
        out.pack(order.fencingToken);
    }

    void operator()(const throttle_order &order)
    {
        begin(order_kind::Throttle, 7);
        packTask(out, order.task);
        out.pack(order.run);
        out.pack(order.percent);
        out.pack(order.fencingToken);
    }

    void operator()(const poll_order &order)
    {
        begin(order_kind::Poll, 4);
        out.pack(order.fencingToken);
        out.pack(order.acknowledged);
        packOptional(out, order.leaseEndMs);
        out.pack(static_cast<std::int64_t>(order.wait.count()));
    }
};

// Each answer is an array of its number, status, clock and start time; a poll's also has its runs, its ends and whether more follow.
struct answer_packer
{
    packer &out;
    std::int64_t number;

    template<typename Answer>
    void begin(const Answer &answer, std::uint32_t fields)
    {
        out.pack_array(4 + fields);
        out.pack(number);
        out.pack(static_cast<int>(answer.status));
        packOptional(out, answer.clockMs);
        packOptional(out, answer.startedUnixMs);
    }

    void operator()(const order_result &answer)
    {
        begin(answer, 0);
    }

    void operator()(const poll_result &answer)
    {
        begin(answer, 3);
        out.pack_array(static_cast<std::uint32_t>(answer.runs.size()));
        for (const sched::listed_run &run : answer.runs) {
            out.pack_array(8);
            packTask(out, run.task);
            out.pack(run.run);
            packText(out, run.checkpoint);
            out.pack(run.percent);
            out.pack(run.load);
        }
        out.pack_array(static_cast<std::uint32_t>(answer.ends.size()));
        for (const sched::listed_end &end : answer.ends) {
            out.pack_array(8);
            out.pack(end.number);
            packTask(out, end.task);
            out.pack(end.run);
            out.pack(static_cast<int>(end.how));
            packText(out, end.checkpoint);
        }
        out.pack(answer.moreEnds);
    }
};

// Takes the elements of an array in order. Throws msgpack::type_error if there is no further one or if it has another type.
class array_reader
{
public:
    explicit array_reader(const msgpack::object &array)
    {
        if (array.type != msgpack::type::ARRAY) {
            throw msgpack::type_error();
        }
        m_next = array.via.array.ptr;
        m_end = m_next + array.via.array.size;
    }

    std::size_t left() const
    {
        return static_cast<std::size_t>(m_end - m_next);
    }

    const msgpack::object &next()
    {
        if (m_next == m_end) {
            throw msgpack::type_error();
        }
        return *m_next++;
    }

    template<typename T>
    T take()
    {
        return next().as<T>();
    }

    std::string text()
    {
        return take<std::string>();
    }

    std::optional<std::int64_t> optionalInteger()
    {
        const msgpack::object &value = next();
        return value.is_nil() ? std::nullopt : std::optional<std::int64_t>(value.as<std::int64_t>());
    }

    /** An enumerator up to `last`, sent as its number. */
    template<typename Enum>
    Enum enumerator(Enum last)
    {
        const int value = take<int>();
        if (value < 0 || value > static_cast<int>(last)) {
            throw msgpack::type_error();
        }
        return static_cast<Enum>(value);
    }

    sched::task_id task()
    {
        sched::task_id id;
        id.job = text();
        id.occurrence = take<int>();
        id.step = take<int>();
        id.index = take<int>();
        return id;
    }

private:
    const msgpack::object *m_next = nullptr;
    const msgpack::object *m_end = nullptr;
};

start_order readStart(array_reader &in)
{
    start_order order;
    order.task = in.task();
    order.run = in.take<int>();
    order.payload = in.text();
    order.leaseEndMs = in.take<std::int64_t>();
    order.fencingToken = in.take<std::int64_t>();
    order.checkpoint = in.text();
    order.ticket = in.text();
    return order;
}

stop_order readStop(array_reader &in)
{
    stop_order order;
    order.task = in.task();
    order.run = in.take<int>();
    order.fencingToken = in.take<std::int64_t>();
    return order;
}

throttle_order readThrottle(array_reader &in)
{
    throttle_order order;
    order.task = in.task();
    order.run = in.take<int>();
    order.percent = in.take<int>();
    order.fencingToken = in.take<std::int64_t>();
    return order;
}

poll_order readPoll(array_reader &in)
{
    poll_order order;
    order.fencingToken = in.take<std::int64_t>();
    order.acknowledged = in.take<std::int64_t>();
    order.leaseEndMs = in.optionalInteger();
    order.wait = std::chrono::milliseconds(in.take<std::int64_t>());
    return order;
}

relayed_order readOrder(const msgpack::object &item)
{
    array_reader in(item);
    relayed_order relayed;
    relayed.number = in.take<std::int64_t>();
    const order_kind kind = in.enumerator(order_kind::Poll);
    relayed.order.target.id = in.text();
    relayed.order.target.address = in.text();
    switch (kind) {
    case order_kind::Start:
        relayed.order.what = readStart(in);
        break;
    case order_kind::Stop:
        relayed.order.what = readStop(in);
        break;
    case order_kind::Throttle:
        relayed.order.what = readThrottle(in);
        break;
    case order_kind::Poll:
        relayed.order.what = readPoll(in);
        break;
    }
    return relayed;
}

sched::listed_run readRun(const msgpack::object &item)
{
    array_reader in(item);
    sched::listed_run run;
    run.task = in.task();
    run.run = in.take<int>();
    run.checkpoint = in.text();
    run.percent = in.take<int>();
    run.load = in.take<std::int64_t>();
    return run;
}

sched::listed_end readEnd(const msgpack::object &item)
{
    array_reader in(item);
    sched::listed_end end;
    end.number = in.take<std::int64_t>();
    end.task = in.task();
    end.run = in.take<int>();
    end.how = in.enumerator(sched::run_end::GangIncomplete);
    end.checkpoint = in.text();
    return end;
}

relayed_answer readAnswer(const msgpack::object &item)
{
    array_reader in(item);
    const std::int64_t number = in.take<std::int64_t>();
    const order_status status = in.enumerator(order_status::Unknown);
    const std::optional<std::int64_t> clockMs = in.optionalInteger();
    const std::optional<std::int64_t> startedUnixMs = in.optionalInteger();
    if (in.left() == 0) {
        return {number, order_result{status, clockMs, startedUnixMs}};
    }
    poll_result answer;
    answer.status = status;
    answer.clockMs = clockMs;
    answer.startedUnixMs = startedUnixMs;
    array_reader runs(in.next());
    answer.runs.reserve(runs.left());
    while (runs.left() > 0) {
        answer.runs.push_back(readRun(runs.next()));
    }
    array_reader ends(in.next());
    answer.ends.reserve(ends.left());
    while (ends.left() > 0) {
        answer.ends.push_back(readEnd(ends.next()));
    }
    answer.moreEnds = in.take<bool>();
    return {number, std::move(answer)};
}

// Unpacks without copying texts, which stay in `body`.
msgpack::object_handle unpack(std::string_view body)
{
    return msgpack::unpack(body.data(), body.size(), [](msgpack::type::object_type, std::size_t, void *) {
        return true;
    });
}

std::string textOf(const msgpack::sbuffer &buffer)
{
    return {buffer.data(), buffer.size()};
}

} // namespace

std::string encode(const relay_exchange &exchange)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(3);
    packText(out, exchange.session);
    out.pack(exchange.waitMs);
    out.pack_array(static_cast<std::uint32_t>(exchange.orders.size()));
    for (const relayed_order &relayed : exchange.orders) {
        std::visit(order_packer{out, relayed}, relayed.order.what);
    }
    return textOf(buffer);
}

std::optional<relay_exchange> decodeExchange(std::string_view body)
{
    try {
        const msgpack::object_handle message = unpack(body);
        array_reader in(message.get());
        relay_exchange exchange;
        exchange.session = in.text();
        exchange.waitMs = in.take<std::int64_t>();
        array_reader orders(in.next());
        while (orders.left() > 0) {
            exchange.orders.push_back(readOrder(orders.next()));
        }
        return exchange;
    } catch (const std::exception &) {
        // The library reports malformed messages by several types of exceptions.
        return std::nullopt;
    }
}

std::string encode(const std::vector<relayed_answer> &answers)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(static_cast<std::uint32_t>(answers.size()));
    for (const relayed_answer &relayed : answers) {
        std::visit(answer_packer{out, relayed.number}, relayed.answer);
    }
    return textOf(buffer);
}

std::optional<std::vector<relayed_answer>> decodeAnswers(std::string_view body)
{
    try {
        const msgpack::object_handle message = unpack(body);
        array_reader in(message.get());
        std::vector<relayed_answer> answers;
        answers.reserve(in.left());
        while (in.left() > 0) {
            answers.push_back(readAnswer(in.next()));
        }
        return answers;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace daisypass
