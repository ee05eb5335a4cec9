#include "turmericplank/forwarding/eventcursor.hpp"

#include <doctest/doctest.h>

using turmericplank::forwarding::EventCursor;
using turmericplank::forwarding::MaxEventBytes;

TEST_CASE("only complete events are passed on, whatever the sizes of the reads")
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight-versions:3\nid: 3\ndata: c\n\n";
    for (std::size_t size = 1; size <= stream.size(); ++size) {
        EventCursor cursor;
        std::string passed;
        for (std::size_t n = 0; n < stream.size(); n += size) {
            passed += cursor.feed(std::string_view(stream).substr(n, size)).value();
        }
        CHECK(passed == stream);
        CHECK(cursor.lastEvent() == 3);
        CHECK(cursor.events() == 3);
        CHECK_FALSE(cursor.hasPartialEvent());
    }
}

TEST_CASE("a stream that continues at another endpoint skips events that the caller has")
{
    EventCursor cursor;
    CHECK(cursor.feed("id: 1\ndata: a\n\nid: 2\nda").value() == "id: 1\ndata: a\n\n");
    CHECK(cursor.hasPartialEvent());
    cursor.restart();
    CHECK(cursor.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n").value() == "id: 2\ndata: b\n\n");
    CHECK(cursor.lastEvent() == 2);
}

TEST_CASE("a caller that resumes gets only the following events")
{
    EventCursor cursor(12);
    CHECK(cursor.feed("id: 12\ndata: x\n\nid: 13\ndata: y\n\n").value() == "id: 13\ndata: y\n\n");
}

TEST_CASE("an event without end is refused, at any size of the reads")
{
    for (const std::size_t size : {std::size_t(1), std::size_t(1000), MaxEventBytes + 1}) {
        EventCursor cursor;
        CHECK(cursor.feed("id: 1\ndata: a\n\n").value() == "id: 1\ndata: a\n\n");
        std::size_t n = 0;
        while (n <= 2 * MaxEventBytes && cursor.feed(std::string(size, 'x'))) {
            n += size;
        }
        CHECK(n <= MaxEventBytes);
        CHECK(cursor.lastEvent() == 1);
        cursor.restart();
        CHECK(cursor.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n").value() == "id: 2\ndata: b\n\n");
    }
}

TEST_CASE("events that come with the bytes that are refused are not taken as passed on")
{
    EventCursor cursor;
    CHECK_FALSE(cursor.feed("id: 1\ndata: a\n\nid: 2\ndata: " + std::string(MaxEventBytes, 'x')));
    CHECK(cursor.lastEvent() == std::nullopt);
    CHECK(cursor.events() == 0);
    CHECK_FALSE(cursor.hasPartialEvent());
}

TEST_CASE("what has no number is no event and is passed on with the next one, or at the end")
{
    EventCursor cursor;
    CHECK(cursor.feed(": waiting\n\n\n\ndata: x\n\n").value().empty());
    CHECK(cursor.events() == 0);
    CHECK(cursor.feed("id: 1\ndata: a\n\n: waiting\n\n").value() == ": waiting\n\n\n\ndata: x\n\nid: 1\ndata: a\n\n");
    CHECK(cursor.events() == 1);
    CHECK(cursor.takeUnnumbered() == ": waiting\n\n");
    CHECK(cursor.takeUnnumbered().empty());
}

TEST_CASE("what belongs to an event that the caller has is left out with it")
{
    EventCursor cursor(1);
    CHECK(cursor.feed(": first\n\nid: 1\ndata: a\n\n: second\n\nid: 2\ndata: b\n\n").value() == ": second\n\nid: 2\ndata: b\n\n");
}

TEST_CASE("too many bytes without an event are refused, also if blank lines divide them")
{
    for (const std::string piece : {"\n\n", ": waiting\n\n", "data: x\r\n\r\n"}) {
        EventCursor cursor;
        std::size_t n = 0;
        while (n <= 2 * MaxEventBytes && cursor.feed(piece)) {
            n += piece.size();
        }
        CHECK(n <= MaxEventBytes);
    }
}
