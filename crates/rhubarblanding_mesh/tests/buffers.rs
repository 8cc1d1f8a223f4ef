//! Memory for bodies that are held: counted for the whole process, and given back.

use googletest::prelude::*;
use rhubarblanding_mesh::connection::BufferPool;

/// Memory of a process whose pool for messages has this number of bytes.
const fn memory(pool: u64) -> u64 {
    pool * 8
}

#[test]
fn buffers_share_the_pool_and_give_their_memory_back() {
    let pool = BufferPool::for_messages(memory(64 * 1024));
    let part = [b'a'; 16 * 1024];
    let mut first = pool.buffer();
    assert_that!(first.append(&part) && first.append(&part), eq(true));
    let mut second = pool.buffer();
    assert_that!(second.append(&part) && second.append(&part), eq(true));
    assert_that!(pool.buffer().append(b"a"), eq(false), "no memory is left");
    // The memory is in use until the last reference to the bytes is gone.
    let whole = first.freeze();
    let tail = whole.slice(20_000..);
    drop(whole);
    assert_that!(pool.buffer().append(b"a"), eq(false));
    assert_that!(tail.len(), eq(12_768));
    drop(tail);
    assert_that!(pool.buffer().append(&part), eq(true));
    drop(second);
    assert_that!(pool.buffer().append(&part), eq(true));
}

#[test]
fn refused_bytes_leave_the_buffer_as_it_was() {
    let pool = BufferPool::for_messages(memory(8 * 1024));
    let mut buffer = pool.buffer();
    assert_that!(buffer.append(b"whole"), eq(true));
    assert_that!(buffer.append(&[b'b'; 9_000]), eq(false));
    assert_that!(buffer.freeze().as_ref(), eq(b"whole"));
}

#[test]
fn empty_buffer_takes_no_memory() {
    let pool = BufferPool::for_messages(memory(0));
    assert_that!(pool.buffer().append(b""), eq(true));
    assert_that!(pool.buffer().freeze().is_empty(), eq(true));
    assert_that!(pool.buffer().append(b"a"), eq(false));
}
