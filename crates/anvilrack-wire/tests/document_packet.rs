//! Documents packed for other routers: any two documents, and packets that are damaged or forged.

use anvilrack_wire::{PacketError, document_digest, pack_document, unpack_document};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A document of `routes` lines with random names.
fn document(rng: &mut StdRng, routes: usize) -> Vec<u8> {
    let line = |_| {
        format!(
            r#"{{"name":"r-{:x}","prefix":"/{:x}/","timeout":"5000ms","service":"bookings"}},"#,
            rng.random::<u32>(),
            rng.random::<u32>()
        )
    };
    (0..routes).map(line).collect::<String>().into_bytes()
}

/// Changes, removes or inserts bytes at a few places.
fn edit(rng: &mut StdRng, document: &[u8]) -> Vec<u8> {
    let mut edited = document.to_vec();
    for _ in 0..rng.random_range(0..6) {
        let at = rng.random_range(0..=edited.len());
        let end = (at + rng.random_range(0..40)).min(edited.len());
        let inserted: Vec<u8> = (0..rng.random_range(0..40)).map(|_| rng.random()).collect();
        edited.splice(at..end, inserted);
    }
    edited
}

#[test]
fn any_document_is_restored_from_any_base() {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..300 {
        let routes = rng.random_range(0..200);
        let base = document(&mut rng, routes);
        let other = if rng.random() {
            edit(&mut rng, &base)
        } else {
            document(&mut rng, 50)
        };
        for base in [None, Some(&*base)] {
            let (header, data) = pack_document(&other, base).unwrap();
            assert_eq!(unpack_document(&header, &data, base).unwrap(), other);
        }
    }
}

#[test]
fn delta_is_as_small_as_the_change() {
    let mut rng = StdRng::seed_from_u64(2);
    let base = document(&mut rng, 6_000);
    let mut changed = base.clone();
    changed.splice(200_000..200_010, document(&mut rng, 5));
    let (_, whole) = pack_document(&changed, None).unwrap();
    let (_, delta) = pack_document(&changed, Some(&base)).unwrap();
    assert!(whole.len() < changed.len() / 4, "{} bytes", whole.len());
    assert!(delta.len() < 1_000, "{} bytes", delta.len());
}

#[test]
fn delta_from_another_document_is_refused() {
    let mut rng = StdRng::seed_from_u64(3);
    let base = document(&mut rng, 100);
    let changed = edit(&mut rng, &base);
    let (header, data) = pack_document(&changed, Some(&base)).unwrap();
    let other = document(&mut rng, 100);
    for base in [None, Some(&*other)] {
        assert!(matches!(
            unpack_document(&header, &data, base),
            Err(PacketError::UnknownBase(digest)) if Some(digest) == header.base
        ));
    }
}

#[test]
fn damaged_packet_never_yields_another_document() {
    let mut rng = StdRng::seed_from_u64(4);
    let base = document(&mut rng, 40);
    let changed = edit(&mut rng, &base);
    for base in [None, Some(&*base)] {
        let (header, data) = pack_document(&changed, base).unwrap();
        for length in 0..data.len() {
            assert!(unpack_document(&header, &data[..length], base).is_err());
        }
        for _ in 0..2_000 {
            let mut damaged = data.clone();
            let at = rng.random_range(0..damaged.len());
            damaged[at] ^= rng.random_range(1..=255);
            if let Ok(document) = unpack_document(&header, &damaged, base) {
                assert_eq!(document, changed);
            }
        }
    }
}

#[test]
fn packet_with_a_forged_header_is_refused() {
    let mut rng = StdRng::seed_from_u64(5);
    let document = document(&mut rng, 40);
    let (header, data) = pack_document(&document, None).unwrap();
    for bytes in [0, header.bytes - 1] {
        let mut forged = header;
        forged.bytes = bytes;
        assert!(unpack_document(&forged, &data, None).is_err());
    }
    let mut forged = header;
    forged.digest = document_digest(b"another document");
    assert!(matches!(
        unpack_document(&forged, &data, None),
        Err(PacketError::WrongContent)
    ));
    forged.bytes = u64::MAX;
    assert!(matches!(
        unpack_document(&forged, &data, None),
        Err(PacketError::TooLong(u64::MAX))
    ));
}

#[test]
fn packet_that_expands_beyond_its_header_is_refused() {
    let (header, _) = pack_document(b"short", None).unwrap();
    let (_, data) = pack_document(&vec![0; 8 * 1024 * 1024], None).unwrap();
    assert!(unpack_document(&header, &data, None).is_err());
}
